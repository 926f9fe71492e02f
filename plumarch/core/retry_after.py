"""Parsing of Retry-After in seconds (RFC 9110, 10.2.3)."""

import math

HEADER = "retry-after"


def milliseconds(seconds: str) -> float:
    """Parse into milliseconds; 0 if invalid, or a date, since clocks may disagree."""
    try:
        found = float(seconds) * 1000.0
    except ValueError:
        return 0.0
    return found if math.isfinite(found) and found > 0 else 0.0
