"""Derives variants ("shapes") of the users' site files and writes them to `target/shapes/`.

Each entry of `deploy/shapes.toml` multiplies named numbers of a site file by factors.
"""

import re
import shutil
import sys
import tomllib
from pathlib import Path

SOURCE = Path(__file__).with_name("shapes.toml")
FOLDER = Path("target/shapes")
WIRE_FILE = "wire.json"
"""File next to every site file, which refers to it by this name."""


class UnknownNumberError(ValueError):
    """A shape names a number that the site file does not have."""


def derived_text(site_text: str, name: str, factors: dict[str, float]) -> str:
    """Return the text of a site file with its named numbers multiplied.

    The shape's name is appended to the name of the site.

    Parameters
    ----------
    site_text
        Text of the given site file.
    name
        Name of the shape.
    factors
        Factor for each field name; it applies to every number with that name.

    Raises
    ------
    UnknownNumberError
        The site file contains no number under the name of a factor.
    """
    text = re.sub(r'(?m)^name = "([^"]+)"', rf'name = "\1-{name}"', site_text, count=1)
    for field, factor in factors.items():
        pattern = rf"\b{re.escape(field)} = ([0-9.]+)"
        if re.search(pattern, text) is None:
            known = ", ".join(sorted(set(re.findall(r"\b([a-z_]+) = [0-9]", site_text))))
            raise UnknownNumberError(f"{name}: unknown number {field!r}, expected one of {known}")
        text = re.sub(pattern, lambda found, f=field, x=factor: _scaled(found, f, x), text)
    return text


def _scaled(found: re.Match[str], field: str, factor: float) -> str:
    """Return the field with its number multiplied; an integer stays an integer of at least 1."""
    number = found.group(1)
    scaled = float(number) * factor
    return f"{field} = {scaled:.6g}" if "." in number else f"{field} = {max(round(scaled), 1)}"


def main(sites: list[str]) -> int:
    """Write every shape of every site file and return the exit code."""
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
