"""Derives site files by the factors of `deploy/shapes.toml`; writes them to `target/shapes/`."""

import re
import shutil
import sys
import tomllib
from pathlib import Path

SOURCE = Path(__file__).with_name("shapes.toml")
FOLDER = Path("target/shapes")
WIRE_FILE = "wire.json"
"""Lies beside every site file and is named in it."""


class UnknownNumberError(ValueError):
    """A shape names a number that the site file does not have."""


def derived_text(site_text: str, name: str, factors: dict[str, float]) -> str:
    """Return a site file whose named numbers are multiplied; its name gets the shape's.

    Raises
    ------
    UnknownNumberError
        The site file has no number of that name.
    """
    text = re.sub(r'(?m)^name = "([^"]+)"', rf'name = "\1-{name}"', site_text, count=1)
    for field, factor in factors.items():
        pattern = rf"\b{re.escape(field)} = ([0-9.]+)"
        if re.search(pattern, text) is None:
            known = ", ".join(sorted(set(re.findall(r"\b([a-z_]+) = [0-9]", site_text))))
            raise UnknownNumberError(f"{name}: {field!r} is none of {known}")
        text = re.sub(pattern, lambda found, f=field, x=factor: _scaled(found, f, x), text)
    return text


def _scaled(found: re.Match[str], field: str, factor: float) -> str:
    """Return the number times the factor; a whole number stays one, and is never below 1."""
    number = found.group(1)
    scaled = float(number) * factor
    return f"{field} = {scaled:.6g}" if "." in number else f"{field} = {max(round(scaled), 1)}"


def main(sites: list[str]) -> int:
    """Write every shape of every site; returns the exit code."""
    if not sites:
        print("usage: write_shapes.py SITE...", file=sys.stderr)
        return 2
    shapes = tomllib.loads(SOURCE.read_text())
    for site in map(Path, sites):
        folder = FOLDER / site.stem
        folder.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(site.with_name(WIRE_FILE), folder / WIRE_FILE)
        for name, factors in shapes.items():
            path = folder / f"{site.stem}-{name}.toml"
            path.write_text(derived_text(site.read_text(), name, factors))
            print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
