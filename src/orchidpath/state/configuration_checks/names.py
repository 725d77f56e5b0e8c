"""Checks of the names of services, routes and models in a configuration."""

from orchidpath.state.configuration_checks.validation_problems import Problem

MAX_NAME_CHARACTERS = 200
"""Maximum length of a name of a service, route or model."""


def name_problems(name: str, path: str) -> list[Problem]:
    """Return the problem of a name of a service, route or model; empty if the name is valid."""
    if not name:
        return [Problem(path=path, message="must not be empty")]
    if len(name) > MAX_NAME_CHARACTERS:
        return [Problem(path=path, message=f"is longer than {MAX_NAME_CHARACTERS} characters")]
    if not name.isprintable() or name != name.strip():
        return [
            Problem(
                path=path,
                message="must not contain unprintable characters or begin or end with white space",
            )
        ]
    return []
