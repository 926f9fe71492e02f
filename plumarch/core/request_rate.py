"""A request rate as endpoints announce it: requests per second, a plain decimal number."""

import re

HEADER = "x-requests-per-second"
"""The product's own name of the header; a deployment may give it another one."""

DECIMAL = re.compile(r"\d{1,12}(\.\d{0,12})?|\.\d{1,12}", re.ASCII)


MAX_PER_S = 1e12


def is_rate(per_s: float) -> bool:
    """Return whether a number that another node sent can be a rate."""
    return 0.0 <= per_s <= MAX_PER_S


def per_second(text: str) -> float | None:
    """Return the rate that a header's value names, or None where it names none.

    Signs, exponents, separators, infinities and longer numbers are no rate.
    """
    text = text.strip()
    return float(text) if DECIMAL.fullmatch(text) else None
