"""docs/CAPACITY.md, its slopes and the arithmetic are in step."""

from bench import capacity


def test_the_page_holds_the_table_worked_out_from_the_slopes() -> None:
    page = capacity.PAGE.read_text()
    assert capacity.table() in page
    assert capacity.page_with_table(page) == page


def test_what_does_not_fit_is_said() -> None:
    assert capacity.fits(90, 100) == "90% of 100"
    assert capacity.fits(120, 100) == "120% of 100: DOES NOT FIT"
