"""Whole numbers written in decimal digits, as they arrive in headers, addresses and streams."""

MAX_DIGITS = 4_300
"""Largest number of digits that is converted, here and by Python's ``int``."""


def number_of_digits(text: bytes | str) -> int | None:
    """Return the number that decimal digits represent; None for any other text.

    Other text is also a number with a sign, one with digits of other scripts, and one of more than
    `MAX_DIGITS` digits.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
