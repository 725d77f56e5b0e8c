from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from orchidpath.cli.main import orchidpath
from orchidpath.common.settings import RouterSettings
from orchidpath.tools import settings_reference as reference
from orchidpath.tools.settings_reference import (
    UndocumentedSettingError,
    documented_meanings,
    settings_reference,
)

PAGE = Path(__file__).parents[2] / "docs" / "settings-reference.md"


class PartlyDescribedSettings(msgspec.Struct):
    """Settings with a field that the docstring does not describe.

    Attributes
    ----------
    with_meaning
        Meaning of the field.
    """

    with_meaning: int = 0
    without_meaning: int = 0


def test_the_page_is_current() -> None:
    # If this fails: orchidpath check --reference > docs/settings-reference.md
    assert PAGE.read_text() == settings_reference()


def test_the_command_prints_the_page() -> None:
    result = CliRunner().invoke(orchidpath, ["check", "--reference"])
    assert result.exit_code == 0
    assert result.stdout == settings_reference()


def test_a_meaning_may_take_several_lines() -> None:
    meaning = documented_meanings(RouterSettings)["decision_log"]
    assert meaning.startswith("File to which every decision")
    assert meaning.endswith("Read at start only.")


def test_a_field_without_a_meaning_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reference, "_SECTIONS", (("Half", PartlyDescribedSettings),))
    with pytest.raises(UndocumentedSettingError, match="without_meaning"):
        settings_reference()
