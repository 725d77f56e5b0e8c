"""Checks of names in a configuration."""

from orchidpath.state.configuration_checks.validation_problems import Problem

MAX_NAME_CHARACTERS = 200
"""Length of a name of a service, route or model."""


def name_problems(name: str, path: str) -> list[Problem]:
    """Return what is wrong with a name of a service, route or model."""
    if not name:
        return [Problem(path=path, message="must not be empty")]
    if len(name) > MAX_NAME_CHARACTERS:
        return [Problem(path=path, message=f"is longer than {MAX_NAME_CHARACTERS} characters")]
    if not name.isprintable() or name != name.strip():
        return [Problem(path=path, message="holds control characters or outer blanks")]
    return []
