"""Parsing of announced request rates, in requests per second."""

import re

HEADER = "x-requests-per-second"
"""Default header name."""

DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?|\.\d{1,12}", re.ASCII)


MAX_PER_S = 1e12


def is_rate(per_s: float) -> bool:
    """Return whether a received number is a valid rate."""
    return 0.0 <= per_s <= MAX_PER_S


def per_second(text: str) -> float | None:
    """Parse a plain decimal rate; None for signs, exponents, infinities and longer numbers."""
    text = text.strip()
    return float(text) if DECIMAL.fullmatch(text) else None
