"""Which region a data centre is of, by the settings' names."""

from collections.abc import Mapping


def region_of(regions: Mapping[str, str], data_centre: str) -> str:
    """Return a data centre's region; one that is not named is a region of its own.

    Args:
      regions: by data centre; empty where all are of one region, whose name is "".
    """
    return regions.get(data_centre, data_centre) if regions else ""
