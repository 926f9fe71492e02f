"""docs/CAPACITY.md matches bench/slopes.json and the calculation."""

from bench import capacity


def test_page_contains_the_table_computed_from_the_slopes() -> None:
    page = capacity.PAGE.read_text()
    assert capacity.table() in page
    assert capacity.page_with_table(page) == page


def test_values_over_their_limit_are_marked() -> None:
    assert capacity.fits(90, 100) == "90% of 100"
    assert capacity.fits(120, 100) == "120% of 100: DOES NOT FIT"
