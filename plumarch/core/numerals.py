"""Whole numbers in texts of other writers: headers, event ids, entries."""

MAX_DIGITS = 15
"""Digits of the largest number that is read; longer texts are no numbers here."""


def whole_number(text: str) -> int | None:
    """Return the number that a text consists of, or None.

    Only ASCII digits count: str.isdigit also takes characters that int rejects.
    """
    if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS:
        return int(text)
    return None
