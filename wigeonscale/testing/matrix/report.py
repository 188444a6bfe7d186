"""Prints the result table of the matrix."""

__all__ = ["print_table", "summary"]

from collections.abc import Sequence

from wigeonscale.testing.matrix.runner import CellResult
from wigeonscale.testing.matrix.steps import STEPS

NOT_RUN = "not run"
WIDTH = 11


def summary(results: Sequence[CellResult]) -> str:
    """Return the last line: counts of cells, proved cells, violations and gaps.

    A cell counts as proved if it ran without a violation.
    """
    ran = [result for result in results if result.runs]
    proved = sum(not result.violations for result in ran)
    violations = sum(len(result.violations) for result in results)
    return (
        f"matrix: cells={len(results)} proved={proved}"
        f" violations={violations} not_run={len(results) - len(ran)}"
    )


def print_table(results: Sequence[CellResult]) -> int:
    """Print a table of faults by steps, then the details and the summary.

    Args:
        results: Every cell, row by row.

    Returns:
        1 if there is a violation, else 0.
    """
    known_steps = {result.step for result in results}
    columns = [step for step in STEPS if step in known_steps]
    by_cell = {(result.fault, result.step): result for result in results}
    print(" " * 18 + "".join(f"{step:>{WIDTH}}" for step in columns))
    for fault in dict.fromkeys(result.fault for result in results):
        row = [_cell_text(by_cell.get((fault, step))) for step in columns]
        print(f"{fault:<18}" + "".join(f"{text:>{WIDTH}}" for text in row))
    for reason in dict.fromkeys(result.reason for result in results if result.reason):
        where = [f"{r.fault} / {r.step}" for r in results if r.reason == reason]
        print(f"{NOT_RUN}: {'; '.join(where)}: {reason}")
    for result in results:
        for violation in result.violations:
            print(f"violation: {result.fault} / {result.step}: {violation}")
    print(summary(results))
    return 1 if any(result.violations for result in results) else 0


def _cell_text(result: CellResult | None) -> str:
    if result is None or not result.runs:
        return NOT_RUN
    return f"{result.runs}/{len(result.violations)}"
