"""The time that an HTTP answer's Retry-After names, where it names seconds (RFC 9110, 10.2.3)."""

import math

HEADER = "retry-after"


def milliseconds(seconds: str) -> float:
    """Return a number of seconds in ms, or 0 for what is no time to come.

    A date names a time of day, which two machines may disagree on; it is passed over as well.
    """
    try:
        found = float(seconds) * 1000.0
    except ValueError:
        return 0.0
    return found if math.isfinite(found) and found > 0 else 0.0
