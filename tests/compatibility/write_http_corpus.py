"""Writes the corpus of messages, documents, settings, metrics and commands; run manually.

``python tests/compatibility/write_http_corpus.py [--overwrite]``, run from the root of the
repository, writes the formats of the current code. The corpus was written by the code before the
first rename; a corpus that is written again proves nothing about that code.
"""

import argparse
import asyncio
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path.insert(0, str(ROOT / "platform"))

from commands_tree import command_tree, exit_codes  # noqa: E402 - needs the adapter's folder
from documents_read import documents  # noqa: E402
from http_answers import operator_answers  # noqa: E402
from http_corpus import FOLDER, cases_of, json_file, values_of  # noqa: E402
from http_labels import ENUMERATIONS, MESSAGES  # noqa: E402
from http_names import http_names  # noqa: E402
from metrics_list import metrics  # noqa: E402
from settings_read import settings_read  # noqa: E402


def corpus() -> dict[str, bytes]:
    """Return the content of every file, by the name of the file."""
    contents = {
        "http_messages.json": {label: cases_of(kind) for label, kind in MESSAGES.items()},
        "http_enumerations.json": {label: values_of(kind) for label, kind in ENUMERATIONS.items()},
        "http_answers.json": asyncio.run(operator_answers()),
        "http_names.json": http_names(),
        "documents_read.json": documents(),
        "settings_read.json": settings_read(),
        "metrics_list.json": metrics(),
        "commands_tree.json": command_tree(),
        "commands_exit_codes.json": exit_codes(),
    }
    return {name: json_file(content) for name, content in contents.items()}


def main() -> None:
    """Write the files; without ``--overwrite``, exit with an error if one of them exists."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--overwrite", action="store_true", help="replace existing files")
    overwrite = parser.parse_args().overwrite
    contents = corpus()
    existing = [name for name in contents if (FOLDER / name).exists()]
    if existing and not overwrite:
        sys.exit(f"refused, these exist (--overwrite replaces them): {', '.join(existing)}")
    for name, content in contents.items():
        (FOLDER / name).write_bytes(content)


if __name__ == "__main__":
    main()
