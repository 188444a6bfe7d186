"""Cost of stored claims and of the snapshot that contains them.

The state machine runs alone in a separate process: the cost of a snapshot is the same
on every replica and does not involve peers.

Usage as a driver: ``python -m bench.slopes.snapshots JSON``.
"""

__all__ = ["main", "measure"]

import json
import sys
import time
from collections.abc import Iterator

from bench.slopes.claims import HOLDER, claims
from bench.slopes.fit import Slope, fit
from bench.slopes.members import announcements
from bench.slopes.processes import resident_kb, run_folder, start_driver
from wigeonscale.state import ControlState

SIZES = (10_000, 50_000, 100_000, 200_000)
MODULE = "bench.slopes.snapshots"
UNITS = {
    "resident memory": "KB",
    "cpu to apply one": "us/claim",
    "snapshot, bytes": "B",
    "snapshot, time that the loop stands still": "ms",
    "snapshot, memory at most while it is made": "KB",
    "restore, time": "ms",
}


async def measure() -> list[Slope]:
    """Measure the state machine with an increasing number of claims."""
    points: dict[str, list[tuple[float, float]]] = {}
    with run_folder() as folder:
        for size in SIZES:
            options = {"claims": size}
            async with start_driver(
                folder, f"s{size}", MODULE, json.dumps(options)
            ) as driver:
                for key, value in (await driver.query("measure")).items():
                    points.setdefault(key, []).append((size, value))
    return [
        fit(f"control state: {key}", "claim kept", UNITS[key], line)
        for key, line in points.items()
    ]


def _figures(count: int) -> dict[str, float]:
    state = ControlState()
    index = 0
    began = time.process_time()
    for index, data in enumerate(_commands(count), 1):
        result = state.apply(index, 1, data)
        if result.kind:
            raise RuntimeError(f"{result.kind}: {result.message}")
    applied_s = time.process_time() - began
    memory = resident_kb("VmRSS")
    began = time.perf_counter()
    data = state.snapshot()
    snapshot_s = time.perf_counter() - began
    peak_kb = resident_kb("VmHWM")
    began = time.perf_counter()
    ControlState().restore(data)
    restore_s = time.perf_counter() - began
    values = (memory, 1e6 * applied_s / index, len(data), 1e3 * snapshot_s)
    return dict(zip(UNITS, (*values, peak_kb, 1e3 * restore_s), strict=True))


def _commands(count: int) -> Iterator[bytes]:
    yield announcements([HOLDER], replica="c0")[0].SerializeToString()
    for number, command in enumerate(claims("kept", count)):
        command.operation_id = f"{number:032x}"
        command.wall_ms = 1_700_000_000_000 + number
        yield command.SerializeToString()


def main(args: list[str]) -> None:
    """Print the figures as JSON after one line on standard input."""
    options = json.loads(args[0])
    sys.stdin.readline()
    print(json.dumps(_figures(options["claims"])), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
