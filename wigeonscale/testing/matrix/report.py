"""Prints the table of the matrix."""

__all__ = ["print_table", "summary"]

from collections.abc import Sequence

from wigeonscale.testing.matrix.runner import CellResult

NOT_RUN = "not run"
WIDTH = 11


def summary(results: Sequence[CellResult]) -> str:
    """Return the last line: counts of cells, proofs, violations and gaps.

    A cell counts as proved when it was run and nothing was found.
    """
    ran = [result for result in results if result.runs]
    proved = sum(not result.violations for result in ran)
    violations = sum(len(result.violations) for result in results)
    return (
        f"matrix: cells={len(results)} proved={proved}"
        f" violations={violations} not_run={len(results) - len(ran)}"
    )


def print_table(results: Sequence[CellResult]) -> int:
    """Print a row a fault and a column a step, then details and the summary.

    Args:
        results: Every cell, row by row.

    Returns:
        1 when a violation was found, else 0.
    """
    steps = list(dict.fromkeys(result.step for result in results))
    by_cell = {(result.fault, result.step): result for result in results}
    print(" " * 18 + "".join(f"{step:>{WIDTH}}" for step in steps))
    for fault in dict.fromkeys(result.fault for result in results):
        row = [_cell_text(by_cell.get((fault, step))) for step in steps]
        print(f"{fault:<18}" + "".join(f"{text:>{WIDTH}}" for text in row))
    for result in results:
        _print_details(result)
    print(summary(results))
    return 1 if any(result.violations for result in results) else 0


def _cell_text(result: CellResult | None) -> str:
    if result is None or not result.runs:
        return NOT_RUN
    return f"{result.runs}/{len(result.violations)}"


def _print_details(result: CellResult) -> None:
    where = f"{result.fault} / {result.step}"
    if result.reason:
        print(f"{NOT_RUN}: {where}: {result.reason}")
    for violation in result.violations:
        print(f"violation: {where}: {violation}")
