"""Counts the decisions that the processes logged, by kind and time window.

Meant as the first step in analysing an incident: it shows which decisions became
frequent, when, and which engines were involved.
"""

__all__ = ["DecisionReport", "DecisionRow", "count_decisions"]

import datetime
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

# Length of the list of engines that refused or broke sends.
MAX_BLAMED_ENGINES = 10
# A quoted text or a word that contains a digit: a name, address, id or number.
VARIABLE_PART = re.compile(r"'[^']*'|\"[^\"]*\"|\S*\d\S*")
REPEATED_PLACEHOLDERS = re.compile(r"N(,? N)+")


@dataclass(frozen=True, slots=True)
class DecisionRow:
    """One kind of decision.

    Attributes:
        kind: Log message without names and numbers, followed by its outcome and status.
        counts: Number of decisions in each window.
    """

    kind: str
    counts: tuple[int, ...]

    @property
    def total(self) -> int:
        """Number of decisions in all windows."""
        return sum(self.counts)


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionReport:
    """Decisions over time.

    Attributes:
        every_s: Length of a window, in seconds.
        began_at: Start of the first window, as an ISO 8601 time in UTC.
        rows: Kinds of decisions, the most frequent first.
        sends: Number of requests by how often they were sent to an engine.
        blamed: Number of refused or broken sends by engine, the highest first.
        unread: Number of lines that are not log records.
    """

    every_s: float
    began_at: str
    rows: tuple[DecisionRow, ...]
    sends: dict[int, int]
    blamed: dict[str, int]
    unread: int


def count_decisions(lines: Iterable[str], *, every_s: float) -> DecisionReport:
    """Count the decisions of log lines.

    Args:
        lines: JSON lines of any number of processes, in any order; text before the
            first brace of a line is ignored.
        every_s: Length of a window, in seconds.

    Example:
        >>> line = '{"time": "2026-01-01T00:00:00Z", "message": "i-7 is lost"}'
        >>> count_decisions([line], every_s=2.0).rows
        (DecisionRow(kind='N is lost', counts=(1,)),)

    Notes:
        Memory grows with the number of requests that were sent, and of pairs of kind
        and time stamp.
    """
    counts: dict[str, Counter] = defaultdict(Counter)
    sends: dict[str, int] = {}
    blamed: Counter = Counter()
    unread = 0
    for line in lines:
        record = _parse_record(line)
        if record is None:
            unread += bool(line.strip())
            continue
        counts[_kind(record)][_timestamp_s(record)] += 1
        if isinstance(record.get("sends"), int):
            name = str(record.get("request_id"))
            sends[name] = max(sends.get(name, 0), record["sends"])
        if record.get("blamed"):
            blamed[str(record["blamed"])] += 1
    return DecisionReport(
        every_s=every_s,
        began_at=_iso_time(min(map(min, counts.values()), default=0.0)),
        rows=_rows(counts, every_s),
        sends=dict(sorted(Counter(sends.values()).items())),
        blamed=dict(blamed.most_common(MAX_BLAMED_ENGINES)),
        unread=unread,
    )


def _parse_record(line: str) -> dict | None:
    """Return the log record in a line, or None if there is none."""
    _, brace, rest = line.partition("{")
    try:
        record = json.loads(brace + rest)
        datetime.datetime.fromisoformat(record["time"])
    except (ValueError, TypeError, KeyError):
        return None
    return record if isinstance(record.get("message"), str) else None


def _timestamp_s(record: dict) -> float:
    return datetime.datetime.fromisoformat(record["time"]).timestamp()


def _iso_time(timestamp_s: float) -> str:
    at = datetime.datetime.fromtimestamp(timestamp_s, tz=datetime.UTC)
    return at.isoformat(timespec="milliseconds")


def _kind(record: dict) -> str:
    kind = REPEATED_PLACEHOLDERS.sub("N", VARIABLE_PART.sub("N", record["message"]))
    details = [str(record[key]) for key in ("outcome", "status") if record.get(key)]
    return f"{kind} [{', '.join(details)}]" if details else kind


def _rows(counts: dict[str, Counter], every_s: float) -> tuple[DecisionRow, ...]:
    if not counts:
        return ()
    first = min(map(min, counts.values()))
    windows = 1 + int((max(map(max, counts.values())) - first) / every_s)
    rows = []
    for kind, by_timestamp in counts.items():
        row = [0] * windows
        for timestamp_s, count in by_timestamp.items():
            row[int((timestamp_s - first) / every_s)] += count
        rows.append(DecisionRow(kind, tuple(row)))
    return tuple(sorted(rows, key=lambda row: (-row.total, row.kind)))
