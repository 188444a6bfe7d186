"""Cost of members and of their changes, up to the planned size of 7,700 engines.

Engines are announced through the log as agents are, but have no watch streams
(``watchers`` measures those).
"""

__all__ = ["measure"]

import asyncio
import contextlib
import time

from bench.slopes.claims import HOLDER, claims
from bench.slopes.daemons import ControlGroup, agent, control_group, engine, entry
from bench.slopes.fit import Slope, fit
from bench.slopes.members import announcements, document
from bench.slopes.processes import Child, measure_cpu, run_folder
from bench.slopes.watchers import total_counts, watch_streams

SIZES = (700, 2_500, 7_700)
CHANGES = 20
CHANGE_INTERVAL_S = 0.05
WATCHERS = 8
CHANGES_WITH_PIPELINES = 6
PLAN_CHANGE_INTERVAL_S = 0.5
ATTACHED = (24, 49, 98)
MODELS = 35
# down_after_s: members without streams must not expire during the measurement.
# rebuild_after_s: the plan that placement delays until engines have settled must be
# made, and counted, within the measurement of their change.
SETTINGS = {"down_after_s": 600, "rebuild_after_s": 1}
IDLE_S = 1.5
UNITS = {
    "cpu of one change": "us/change",
    "cpu of announcing one": "us/announcement",
    "memory": "KB",
    "cpu to place all chains": "ms",
    "cpu of one claim alone": "us/claim",
}


async def measure() -> list[Slope]:
    """Measure members without and with pipelines, then attaching watchers."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    with run_folder() as folder:
        async with contextlib.AsyncExitStack() as stack:
            group = await stack.enter_async_context(control_group(folder, **SETTINGS))
            leader = await group.leader()
            follower = (leader + 1) % len(group.replicas)
            # A replica derives orders only if agents are attached to it.
            follower_address = group.grpc[follower : follower + 1]
            _, backend = await stack.enter_async_context(engine(folder, "engine", "m"))
            agent_child, _ = await stack.enter_async_context(
                agent(folder, "agent", follower_address, backend)
            )
            entry_child, _ = await stack.enter_async_context(
                entry(folder, "entry", follower_address)
            )
            roles = {
                "control leader": group.replicas[leader],
                "control follower": group.replicas[follower],
                "entry": entry_child,
                "agent": agent_child,
            }
            announced = 0
            for size in SIZES:
                await _apply(group, document(10))
                figures = await _at_size(group, roles, follower, announced, size)
                figures |= await _plan_figures(group, roles, follower)
                announced = size
                for key, value in figures.items():
                    points.setdefault(key, []).append((size, value))
            attach = await _attach(group, follower, "attach")
            async with watch_streams(group, follower, 1, "entry", "k") as drivers:
                index = (await total_counts(drivers))["members_index"]
            revision = (await group.status(follower))["revision"]
            known = {"known_revision": revision, "known_index": index}
            attach += await _attach(group, follower, "attach again", **known)
    slopes = []
    for (role, what), line in points.items():
        unit = UNITS.get(what, "B")
        slopes.append(fit(f"{role}: {what}", "member", unit, line))
    return [*slopes, *attach]


async def _at_size(
    group: ControlGroup, roles: dict[str, Child], follower: int, known: int, size: int
) -> dict[tuple[str, str], float]:
    names = [f"engine-{n}" for n in range(size)]
    idle = await measure_cpu(roles, asyncio.sleep(IDLE_S))
    announced = await measure_cpu(roles, _announce(group, names[known:]))
    figures = {
        (role, "cpu of announcing one"): us
        for role, us in announced.us_per_item(size - known, idle).items()
    }
    async with watch_streams(group, follower, WATCHERS, "entry") as drivers:
        before = await total_counts(drivers)
        idle = await measure_cpu(roles, asyncio.sleep(IDLE_S))
        changed = await measure_cpu(roles, _change_one_by_one(group, names[:CHANGES]))
        after = await total_counts(drivers)
    delta = (after["member_bytes"] - before["member_bytes"]) / WATCHERS / CHANGES
    figures["watcher", "bytes of one change"] = delta
    whole = before["large_bytes"] / WATCHERS
    figures["watcher", "bytes of the whole membership"] = whole
    for role, us in changed.us_per_item(CHANGES, idle).items():
        figures[role, "cpu of one change"] = us
        figures[role, "memory"] = 1024 * roles[role].usage().rss_mb
    return figures


async def _announce(group: ControlGroup, names: list[str]) -> None:
    await group.submit_all(announcements(names, replica="c0"))
    await asyncio.sleep(IDLE_S)


async def _change_one_by_one(group: ControlGroup, names: list[str]) -> None:
    version = f"v{time.monotonic()}"
    for command in announcements(names, replica="c0", version=version):
        await group.submit_all([command])
        await asyncio.sleep(CHANGE_INTERVAL_S)
    await asyncio.sleep(IDLE_S)


async def _attach(
    group: ControlGroup, replica: int, label: str, **known: int
) -> list[Slope]:
    """Measure increasing numbers of watchers that attach to one replica at once."""
    cpu, memory, delay = [], [], []
    for count in ATTACHED:
        before = group.replicas[replica].usage()
        began = time.monotonic()
        name = f"{label[-1]}{count}"
        async with watch_streams(
            group, replica, count, "entry", name, **known
        ) as drivers:
            counts = await total_counts(drivers)
            after = group.replicas[replica].usage()
        cpu.append((count, 1e3 * (after.cpu_s - before.cpu_s)))
        memory.append((count, after.peak_mb))
        delay.append((count, 1e3 * (counts["all_leased_at"] - began)))
    name = f"control follower, {label} at {SIZES[-1]} members"
    return [
        fit(f"{name}: cpu", "watcher at once", "ms", cpu),
        fit(f"{name}: memory at most", "watcher at once", "MB", memory),
        fit(f"{name}: until the last lease", "watcher at once", "ms", delay),
    ]


async def _plan_figures(
    group: ControlGroup, all_roles: dict[str, Child], follower: int
) -> dict[tuple[str, str], float]:
    """Measure placement of 35 models' chains, then single changes and claims."""
    roles = {role: all_roles[role] for role in ("control leader", "control follower")}
    idle = await measure_cpu(roles, asyncio.sleep(IDLE_S))
    placed = await measure_cpu(roles, _apply(group, document(10, pipelines=MODELS)))
    idle_after = await measure_cpu(roles, asyncio.sleep(IDLE_S))
    names = [f"engine-{n}" for n in range(CHANGES_WITH_PIPELINES)]
    changed = await measure_cpu(roles, _change_one_by_one(group, names))
    await _announce(group, [HOLDER])
    claimed = await measure_cpu(roles, _claim_one_by_one(group))
    async with watch_streams(group, follower, 1, "entry", "p") as drivers:
        whole = (await total_counts(drivers))["large_bytes"]
    figures = {("watcher", "bytes of the whole membership with chains"): float(whole)}
    for role in roles:
        name = f"{role} with {MODELS} pipelines"
        figures |= {
            (name, "cpu to place all chains"): placed.us_per_item(1, idle)[role] / 1e3,
            (name, "cpu of one change"): changed.us_per_item(
                CHANGES_WITH_PIPELINES, idle_after
            )[role],
            (name, "cpu of one claim alone"): claimed.us_per_item(
                CHANGES_WITH_PIPELINES, idle_after
            )[role],
        }
    return figures


async def _apply(group: ControlGroup, text: str) -> None:
    revision = (await group.status(0))["revision"]
    await group.apply(revision, document=text)
    await asyncio.sleep(IDLE_S)


async def _claim_one_by_one(group: ControlGroup) -> None:
    for command in claims(f"c{time.monotonic()}", CHANGES_WITH_PIPELINES):
        await group.submit_all([command])
        await asyncio.sleep(PLAN_CHANGE_INTERVAL_S)
    await asyncio.sleep(IDLE_S)
