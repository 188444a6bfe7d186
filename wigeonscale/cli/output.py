"""Output of a command, as text and as JSON."""

__all__ = ["Output", "format_table"]

from collections.abc import Sequence
from dataclasses import dataclass

from wigeonscale.cli.exit_codes import ExitCode

COLUMN_GAP = "  "


@dataclass(frozen=True, slots=True)
class Output:
    """Output of a command that succeeded.

    Attributes:
        text: Human-readable text.
        data: The same content as a JSON object, for ``--json``.
        notes: Warnings, printed on standard error.
        code: Exit code.
    """

    text: str
    data: dict[str, object]
    notes: tuple[str, ...] = ()
    code: ExitCode = ExitCode.DONE


def format_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Format a table with aligned columns; numbers are right-aligned.

    Args:
        headers: Name of each column.
        rows: Values of each row, one for each column.

    Example:
        >>> print(format_table(["NAME", "N"], [["a", 12], ["bc", 3]]))
        NAME   N
        a     12
        bc     3
    """
    cells = [[_cell(value) for value in row] for row in rows]
    widths = [
        max(len(header), *(len(row[column]) for row in cells), 0)
        for column, header in enumerate(headers)
    ]
    numeric = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headers))
    ]
    return "\n".join(_line(row, widths, numeric) for row in [list(headers), *cells])


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def _line(row: list[str], widths: list[int], numeric: list[bool]) -> str:
    cells = [
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(row, widths, numeric, strict=True)
    ]
    return COLUMN_GAP.join(cells).rstrip()
