"""Cost of the metrics and reports that an entry records per active organisation.

The entry's recording code runs in a separate process, with one finished request per
organisation.

Usage as a driver: ``python -m bench.slopes.records JSON``.
"""

__all__ = ["main", "measure"]

import json
import sys
import time

import aioprometheus

from bench.slopes.fit import Slope, fit
from bench.slopes.processes import resident_kb, run_folder, start_driver
from wigeonscale.adapters import METRICS, OK
from wigeonscale.entry.records import RequestLog, record
from wigeonscale.ports import SystemClock
from wigeonscale.reports import BurnRecorder

SIZES = (1_000, 10_000, 30_000)
MODULE = "bench.slopes.records"
FIRST_TOKEN_S = 0.5
GAP_S = 0.04
UNITS = {
    "memory": "KB",
    "metrics page, cpu": "ms",
    "metrics page, bytes": "B",
    "burn page, cpu": "ms",
    "burn page, bytes": "B",
}


async def measure() -> list[Slope]:
    """Measure the records of an increasing number of organisations."""
    points: dict[str, list[tuple[float, float]]] = {}
    with run_folder() as folder:
        for size in SIZES:
            options = json.dumps({"organisations": size})
            async with start_driver(folder, f"r{size}", MODULE, options) as driver:
                for key, value in (await driver.query("measure")).items():
                    points.setdefault(key, []).append((size, value))
    return [
        fit(f"entry, records: {key}", "organisation in use", UNITS[key], line)
        for key, line in points.items()
    ]


def _figures(count: int) -> dict[str, float]:
    recorder = BurnRecorder(clock=SystemClock())
    before = resident_kb("VmRSS")
    for number in range(count):
        log = RequestLog(organisation=f"organisation-{number}", started=0.0, kind=OK)
        log.record_write(1, FIRST_TOKEN_S)
        log.record_write(1, FIRST_TOKEN_S + GAP_S)
        record(log, 1.0, recorder)
    memory = resident_kb("VmRSS") - before
    began = time.process_time()
    metrics, _ = aioprometheus.render(METRICS.registry, [])
    metrics_s = time.process_time() - began
    began = time.process_time()
    burn = json.dumps(recorder.export())
    burn_s = time.process_time() - began
    values = (memory, 1e3 * metrics_s, len(metrics), 1e3 * burn_s, len(burn))
    return dict(zip(UNITS, values, strict=True))


def main(args: list[str]) -> None:
    """Print the figures as JSON after one line on standard input."""
    options = json.loads(args[0])
    sys.stdin.readline()
    print(json.dumps(_figures(options["organisations"])), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
