"""``wigeonctl report decisions``: decisions counted from logs by kind and time."""

__all__ = ["report_decisions"]

import argparse
import dataclasses
import itertools
from collections.abc import Iterator, Sequence

from wigeonscale.cli.output import Output, format_table
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.reports import DecisionReport, count_decisions

MAX_KIND_WIDTH = 60


def report_decisions(args: argparse.Namespace) -> Output:
    """Count the decisions in log files.

    Raises:
        WigeonscaleError: A file cannot be read.
    """
    lines = itertools.chain.from_iterable(map(_lines, args.files))
    report = count_decisions(lines, every_s=args.every)
    notes = (f"{report.unread} lines are no log lines",) if report.unread else ()
    return Output(_text(report), dataclasses.asdict(report), notes)


def _lines(path: str) -> Iterator[str]:
    try:
        with open(path, encoding="utf-8", errors="replace") as stream:
            yield from stream
    except OSError as exc:
        message = f"log file {path!r} cannot be read: {exc}"
        raise WigeonscaleError(ErrorKind.BAD_REQUEST, message) from exc


def _text(report: DecisionReport) -> str:
    if not report.rows:
        return "no decisions"
    starts = [f"{n * report.every_s:g}" for n in range(len(report.rows[0].counts))]
    rows = [[row.kind[:MAX_KIND_WIDTH], row.total, *row.counts] for row in report.rows]
    return "\n".join(
        [
            f"seconds from {report.began_at}",
            format_table(["DECISION", "ALL", *starts], rows),
            "",
            format_table(["SENDS", "REQUESTS"], _pairs(report.sends)),
            "",
            format_table(["BLAMED", "TIMES"], _pairs(report.blamed)),
        ]
    )


def _pairs(counts: dict) -> Sequence[Sequence[object]]:
    return [[key, count] for key, count in counts.items()]
