"""An entry is stopped while a stream that can't be resumed pauses for a moment."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[3]))

from review.standins.cluster import GRACE_S, Cluster, run_case
from review.standins.engines import Engine, wait_for_layers
from review.standins.streams import LAYERS, EngineModel, desired_state, read_stream

FOLDER = pathlib.Path(__file__).parent
STREAMS = 12
SPACING_S = 0.15
EVENTS = 84
EVENT_BYTES = 65
EVENT_INTERVAL_S = 0.04
# Each third stream is preempted once and read again. Its client waits for 4 s, four
# times the latency target, and would wait for 2 s with any target.
TARGET_LATENCY_MS = 1000
PAUSE_S = 1.8
PAUSE_AFTER_EVENT = 60
SETTLE_S = 3.0


async def case(record, has_trouble):
    """Return 1 if the stopped entry cuts a stream that its engine goes on with."""
    cluster = Cluster(record=record, entries=2)
    model = EngineModel(
        record=record,
        events=EVENTS,
        event_bytes=EVENT_BYTES,
        interval_s=EVENT_INTERVAL_S,
    )
    if has_trouble:
        paused = [f"{number:016x}" for number in range(1, STREAMS + 1, 3)]
        model.pauses = dict.fromkeys(paused, (PAUSE_AFTER_EVENT, PAUSE_S))
    engines = []
    try:
        await cluster.start()
        for number in range(1, 4):
            engine = Engine(
                name=f"i-{number}",
                service="model",
                zone=f"z{number}",
                slots=96,
                cluster=cluster,
                answer=model.answer,
                kind="h100",
            )
            await engine.start(f"{cluster.engine_net}.{100 + number}")
            engines.append(engine)
        state = desired_state(target_latency_ms=TARGET_LATENCY_MS, resumable=False)
        if await cluster.put_config(state) != 200:
            return 2
        await cluster.wait_until_ready()
        await wait_for_layers(engines, LAYERS)
        await asyncio.sleep(SETTLE_S)
        streams = []
        for number in range(1, STREAMS + 1):
            stream = read_stream(cluster.fronts[0], f"{number:016x}", record=record)
            streams.append(asyncio.create_task(stream))
            await asyncio.sleep(SPACING_S)
        stopped_at = asyncio.get_running_loop().time()
        entry = cluster.entry_processes[0]
        entry.is_expected_to_end = True
        entry.signal(signal.SIGTERM)
        cut = 0
        for number, result in enumerate(await asyncio.gather(*streams), 1):
            name = f"{number:016x}"
            planned_s = model.planned_end_at[name] - stopped_at
            # Excused if the engine was still at work in the last sixth of the grace
            # time. The engines break nothing off, and no deadline is near.
            cut += not result.is_whole and planned_s < GRACE_S * 5 / 6
            record.add(
                f"{name} answered {result.status}, {len(result.ids)} events, complete:"
                f" {result.is_whole}; its channel ended"
                f" {result.ended_at - stopped_at:.3f} s after the SIGTERM; its engine"
                f" had its last event planned {planned_s:.3f} s after it"
            )
        record.add(f"cut around the SIGTERM, with an engine that went on: {cut}")
        return int(cut > 0)
    finally:
        await asyncio.gather(*[engine.close() for engine in engines])
        await cluster.close()


if __name__ == "__main__":
    run_case(case, FOLDER)
