"""Draws the burn report as a bar chart; requires matplotlib, unlike the daemons."""

__all__ = ["draw_burn"]

from collections.abc import Sequence

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.reports.merge import BurnReport, BurnRow

MAX_BARS = 30
INCHES_PER_BAR = 0.3
WIDTH_INCHES = 8.0
FRAME_INCHES = 1.5  # axis and margins, independent of the number of bars
GROUP_HEIGHT = 0.8  # share taken by the bars of one row; the rest is the gap


def draw_burn(report: BurnReport, path: str) -> None:
    """Write a bar chart of the rows with the largest burns.

    Args:
        report: The report to draw.
        path: File to write; its suffix selects the format.

    Raises:
        WigeonscaleError: ``INTERNAL`` when matplotlib is not installed.
        OSError: The file cannot be written.
        ValueError: The format of the suffix is not supported.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as exc:
        raise WigeonscaleError(
            ErrorKind.INTERNAL,
            "a picture needs matplotlib, which is not installed here;"
            " pip install matplotlib, or leave --picture out",
        ) from exc
    rows = report.rows[:MAX_BARS][::-1]
    size = (WIDTH_INCHES, FRAME_INCHES + INCHES_PER_BAR * len(rows))
    figure = Figure(figsize=size, layout="constrained")
    _draw_bars(figure.add_subplot(), report, rows)
    figure.savefig(path)


def _draw_bars(axes: object, report: BurnReport, rows: Sequence[BurnRow]) -> None:
    positions = range(len(rows))
    height = GROUP_HEIGHT / max(len(report.windows), 1)
    for number, (name, length_s) in enumerate(report.windows.items()):
        offset_positions = [position + number * height for position in positions]
        burns = [row.windows[name].burn for row in rows]
        axes.barh(
            offset_positions, burns, height, label=f"{name}, {length_s // 60} min"
        )
    axes.set_yticks(
        positions, [f"{row.organisation} {row.objective.name}" for row in rows]
    )
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.set_xlabel("share of the error budget used")
    if rows:
        axes.legend()
