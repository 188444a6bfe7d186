"""Invariant checks on recorded traces of engines and plain services.

A sequence id is ``<dispatch id>#<run>``; each prefill starts a new run. Earlier runs
of a dispatch may end at any step, but every step that a run executed must be in order,
with each layer once per position.
"""

__all__ = [
    "Violation",
    "layer_order_violations",
    "read_trace",
    "repeated_effects",
    "refused_but_ran",
]

import json
import pathlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

Record = dict


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant.

    Attributes:
        sequence: Sequence id, idempotency key or other subject of the violation.
        description: What was observed, and what was expected.
    """

    sequence: str
    description: str

    def __str__(self) -> str:
        return f"{self.sequence}: {self.description}"


def read_trace(path: str | pathlib.Path) -> list[Record]:
    """Return the records of a JSON Lines trace; an empty list without a file.

    Args:
        path: File written by a fake engine or service; a partially written last
            line is skipped.
    """
    file = pathlib.Path(path)
    if not file.exists():
        return []
    lines = file.read_text(encoding="utf-8").splitlines(keepends=True)
    return [json.loads(line) for line in lines if line.endswith("\n")]


def layer_order_violations(
    records: Iterable[Record],
    *,
    layers: int,
    finished: Mapping[str, int] | None = None,
) -> list[Violation]:
    """Check that each layer ran once per position, in order.

    Args:
        records: Records of all engines.
        layers: Number of layers of the model.
        finished: Number of positions of each completed dispatch, by dispatch id;
            its last run must cover them at every layer.

    Returns:
        The violations found.
    """
    by_sequence: dict[str, list[Record]] = defaultdict(list)
    for record in records:
        by_sequence[record["sequence"]].append(record)
    violations: list[Violation] = []
    for sequence, run_records in by_sequence.items():
        violations += [
            Violation(sequence, description)
            for description in _check_run(run_records, layers)
        ]
    for dispatch_id, positions in (finished or {}).items():
        violations += _check_complete(dispatch_id, positions, by_sequence, layers)
    return violations


def _check_run(records: list[Record], layers: int) -> list[str]:
    problems: list[str] = []
    completed_at: dict[tuple[int, int], int] = {}
    epochs = {record["epoch"] for record in records}
    if len(epochs) > 1:
        problems.append(f"epochs {sorted(epochs)} in one run")
    for record in sorted(records, key=lambda record: record["at_ns"]):
        first, last = record["layers"]
        for layer in range(first, last + 1):
            problems += _record_positions(record, layer, completed_at)
    counts = Counter(layer for layer, _ in completed_at)
    beyond = [layer for layer in counts if layer >= layers]
    problems += [f"layer {layer} of {layers}" for layer in beyond]
    return problems


def _record_positions(
    record: Record, layer: int, completed_at: dict[tuple[int, int], int]
) -> list[str]:
    problems: list[str] = []
    first_layer = record["layers"][0]
    for position in range(record["position"], record["position"] + record["count"]):
        where = f"layer {layer} position {position}"
        if (layer, position) in completed_at:
            problems.append(f"{where} ran twice")
        if position and (layer, position - 1) not in completed_at:
            problems.append(f"{where} ran before position {position - 1}")
        if layer > first_layer:
            previous_at = record["at_ns"]
        else:
            previous_at = completed_at.get((layer - 1, position))
        if layer and (previous_at is None or previous_at > record["at_ns"]):
            problems.append(f"{where} ran before layer {layer - 1}")
        completed_at[(layer, position)] = record["at_ns"]
    return problems


def _check_complete(
    dispatch_id: str,
    positions: int,
    by_sequence: Mapping[str, list[Record]],
    layers: int,
) -> list[Violation]:
    runs = [s for s in by_sequence if s.rpartition("#")[0] == dispatch_id]
    if not runs:
        return [Violation(dispatch_id, "never ran")]
    final = max(runs, key=lambda s: int(s.rpartition("#")[2]))
    counts: Counter[int] = Counter()
    for record in by_sequence[final]:
        for layer in range(record["layers"][0], record["layers"][1] + 1):
            counts[layer] += record["count"]
    return [
        Violation(final, f"layer {layer} ran {counts[layer]} of {positions} positions")
        for layer in range(layers)
        if counts[layer] != positions
    ]


def repeated_effects(records: Iterable[Record]) -> list[Violation]:
    """Return the idempotency keys with more than one effect.

    Args:
        records: Records of plain services; those without a key are ignored.
    """
    counts = Counter(record["key"] for record in records if record["key"])
    return [
        Violation(key, f"{count} effects") for key, count in counts.items() if count > 1
    ]


def refused_but_ran(
    refused: Iterable[str],
    *,
    steps: Iterable[Record] = (),
    effects: Iterable[Record] = (),
) -> list[Violation]:
    """Return the requests that ran although they were refused as not run.

    Args:
        refused: Dispatch ids and idempotency keys refused as not run.
        steps: Records of engines.
        effects: Records of plain services.
    """
    ran = {record["sequence"].rpartition("#")[0] for record in steps}
    ran |= {record["key"] for record in effects if record["key"]}
    return [
        Violation(name, "ran but was refused as not run")
        for name in refused
        if name in ran
    ]
