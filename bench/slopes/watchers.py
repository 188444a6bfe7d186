"""Cost of an idle watch stream at the replica that serves it."""

__all__ = ["measure"]

import asyncio
import contextlib
import json

from bench.slopes.daemons import ControlGroup, control_group
from bench.slopes.fit import Slope, fit
from bench.slopes.processes import Child, run_folder, start_driver

SIZES = (196, 392, 784)
HEARTBEAT_S = 0.5
STREAMS_PER_DRIVER = 196
SETTLE_S = 1.0
WINDOW_S = 5.0
POLL_S = 0.1
ATTACH_TIMEOUT_S = 60.0
MODULE = "bench.slopes.watch_load"


async def measure() -> list[Slope]:
    """Measure streams of entries, then of agents, on one replica of three."""
    return [*await _by_role("entry"), *await _by_role("agent")]


async def _by_role(role: str) -> list[Slope]:
    cpu, memory, received, sent = [], [], [], []
    with run_folder() as folder:
        async with control_group(folder) as group:
            follower = (await group.leader() + 1) % len(group.replicas)
            for size in (0, *SIZES):
                async with watch_streams(group, follower, size, role) as drivers:
                    await asyncio.sleep(SETTLE_S)
                    before = group.replicas[follower].usage()
                    counts = await total_counts(drivers)
                    await asyncio.sleep(WINDOW_S)
                    after = group.replicas[follower].usage()
                    later = await total_counts(drivers)
                cpu.append((size, 1000 * (after.cpu_s - before.cpu_s) / WINDOW_S))
                memory.append((size, after.rss_mb))
                for key, points in (("bytes_in", received), ("bytes_out", sent)):
                    points.append((size, (later[key] - counts[key]) / WINDOW_S))
    name = f"control follower, {role} streams"
    return [
        fit(f"{name}: cpu", "watcher", "ms/s", cpu),
        fit(f"{name}: memory", "watcher", "MB", memory),
        fit(f"{name}: message bytes to the watcher", "watcher", "B/s", received),
        fit(f"{name}: message bytes from the watcher", "watcher", "B/s", sent),
    ]


@contextlib.asynccontextmanager
async def watch_streams(
    group: ControlGroup,
    replica: int,
    count: int,
    role: str,
    name: str = "w",
    **known: int,
):
    """Hold watch streams on one replica until the block ends.

    Yields the driver processes once all streams have leases.

    Args:
        group: The control replicas.
        replica: Index of the replica to watch.
        count: Number of streams.
        role: Role that the streams report in their hello.
        name: Prefix of their node names.
        **known: Hello fields for the state that they have from another replica.
    """
    async with contextlib.AsyncExitStack() as stack:
        drivers = []
        for first in range(0, count, STREAMS_PER_DRIVER):
            options = {
                "addresses": [group.grpc[replica]],
                "name": f"{name}{first}",
                "role": role,
                "count": min(STREAMS_PER_DRIVER, count - first),
                "heartbeat_s": HEARTBEAT_S,
                "known": known,
            }
            driver = start_driver(
                group.folder, f"driver-{first}", MODULE, json.dumps(options)
            )
            drivers.append(await stack.enter_async_context(driver))
        await _wait_all_leased(drivers, count)
        yield drivers


async def _wait_all_leased(drivers: list[Child], count: int) -> None:
    async with asyncio.timeout(ATTACH_TIMEOUT_S):
        while True:
            if (await total_counts(drivers))["streams"] >= count:
                return
            await asyncio.sleep(POLL_S)


async def total_counts(drivers: list[Child]) -> dict:
    """Return the merged counts of several drivers."""
    answers = [await driver.query("counts") for driver in drivers]
    keys = ("streams", "bytes_in", "messages_in", "bytes_out", "messages_out")
    keys += ("config_bytes", "member_bytes", "large_bytes")
    total = {key: sum(answer[key] for answer in answers) for key in keys}
    total["members_index"] = max([a["members_index"] for a in answers], default=0)
    total["all_leased_at"] = max([a["all_leased_at"] for a in answers], default=0.0)
    total["reached"] = {}
    for answer in answers:
        for revision, (count, at) in answer["reached"].items():
            known, latest = total["reached"].get(int(revision), (0, 0.0))
            total["reached"][int(revision)] = (known + count, max(latest, at))
    return total
