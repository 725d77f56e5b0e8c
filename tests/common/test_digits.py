"""Whole numbers in decimal digits; any other text is no number and no error."""

import pytest

from orchidpath.common.addresses import AddressError, parse_address
from orchidpath.common.digits import MAX_DIGITS, number_of_digits


@pytest.mark.parametrize("text", ["0", "007", "20261204093000123456", "9" * MAX_DIGITS])
def test_digits_are_a_number(text: str) -> None:
    assert number_of_digits(text) == int(text)
    assert number_of_digits(text.encode()) == int(text)


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "1.0", "1_000", " 1", "\u00b2", "\u0662", "9" * (MAX_DIGITS + 1)]
)
def test_other_text_is_none(text: str) -> None:
    """Guards against digits that ``int`` refuses with an error."""
    assert number_of_digits(text) is None
    assert number_of_digits(text.encode()) is None


def test_a_port_of_many_digits_is_an_address_error() -> None:
    with pytest.raises(AddressError):
        parse_address("127.0.0.1:" + "9" * 5_000)
