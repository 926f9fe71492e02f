"""Parsing of the request rate that endpoints announce, in requests per second."""

import re

HEADER = "x-requests-per-second"
"""Default header name; configurable per deployment."""

DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?|\.\d{1,12}", re.ASCII)


MAX_PER_S = 1e12


def is_rate(per_s: float) -> bool:
    """Return whether a number received from another node is a valid rate."""
    return 0.0 <= per_s <= MAX_PER_S


def per_second(text: str) -> float | None:
    """Parse a header value as a plain decimal rate, or return None.

    Signs, exponents, separators, infinities and longer numbers are invalid.
    """
    text = text.strip()
    return float(text) if DECIMAL.fullmatch(text) else None
