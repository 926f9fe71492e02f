"""Mapping of data centres to regions."""

from collections.abc import Mapping


def region_of(regions: Mapping[str, str], data_centre: str) -> str:
    """Return a data centre's region; an unlisted one is its own region.

    Args:
      regions: region by data centre; if empty, all are in "".
    """
    return regions.get(data_centre, data_centre) if regions else ""
