"""The table of slopes in docs/CAPACITY.md."""

__all__ = ["BEGIN", "END", "replace_between_markers", "table"]

import pathlib
from collections.abc import Iterable, Mapping

from bench.slopes.fit import Slope

BEGIN = "<!-- slopes:begin (rewritten by make slopes) -->"
END = "<!-- slopes:end -->"
TABLE_HEADER = "| slope | points | per | slope | intercept | residual |"
TABLE_DIVIDER = "| --- | --- | --- | ---: | ---: | ---: |"


def table(families: Mapping[str, Iterable[Slope]], heading: str) -> str:
    """Return the page's table of figures.

    Args:
        families: Slopes by the module that measured them.
        heading: Line with the time of the run and the load of the machine.

    Returns:
        Markdown with one table per family and the command that measures it.
    """
    parts = [heading]
    for family, slopes in families.items():
        rows = "\n".join(_row(slope) for slope in slopes)
        command = f"`python -m bench.slopes {family}`"
        parts.append(f"{command}\n\n{TABLE_HEADER}\n{TABLE_DIVIDER}\n{rows}")
    return "\n\n".join(parts)


def replace_between_markers(page: pathlib.Path, text: str) -> None:
    """Replace the text between the page's markers.

    Args:
        page: The page.
        text: New text between the markers.

    Raises:
        ValueError: The page does not contain each marker exactly once, in order.
    """
    old = page.read_text()
    before, begin, rest = old.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end or BEGIN in rest or END in before + after:
        raise ValueError(f"{page} does not hold {BEGIN} and {END} once, in order")
    page.write_text(f"{before}{BEGIN}\n\n{text}\n\n{END}{after}")


def _row(slope: Slope) -> str:
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    figures = (slope.slope, slope.intercept, slope.residual)
    cells = " | ".join(f"{figure:.3g} {slope.unit}" for figure in figures)
    return f"| {slope.name} | {points} | {slope.per} | {cells} |"
