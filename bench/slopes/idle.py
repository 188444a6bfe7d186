"""Memory and processor time of each role when idle."""

__all__ = ["measure"]

import asyncio

from bench.slopes.daemons import agent, control_group, engine, entry
from bench.slopes.fit import Slope, fit
from bench.slopes.processes import run_folder

REPLICAS = (1, 3, 7)
SETTLE_S = 1.0
WINDOW_S = 5.0


async def measure() -> list[Slope]:
    """Measure every role with 1, 3 and 7 control replicas."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for count in REPLICAS:
        for role, (cpu, memory) in (await _idle(count)).items():
            points.setdefault((role, "cpu"), []).append((count, cpu))
            points.setdefault((role, "memory"), []).append((count, memory))
    units = {"cpu": "ms/s", "memory": "MB"}
    return [
        fit(f"{role}, idle: {what}", "control replica", units[what], line)
        for (role, what), line in points.items()
        if len(line) > 1
    ]


async def _idle(count: int) -> dict[str, tuple[float, float]]:
    with run_folder() as folder:
        async with (
            control_group(folder, count) as group,
            engine(folder, "engine", "m") as (_, backend),
            agent(folder, "agent", group.grpc, backend) as (agent_child, _),
            entry(folder, "entry", group.grpc) as (entry_child, _),
        ):
            leader = await group.leader()
            roles = {
                "control leader": group.replicas[leader],
                "entry": entry_child,
                "agent": agent_child,
            }
            if count > 1:
                roles["control follower"] = group.replicas[(leader + 1) % count]
            await asyncio.sleep(SETTLE_S)
            before = {role: child.usage() for role, child in roles.items()}
            await asyncio.sleep(WINDOW_S)
            after = {role: child.usage() for role, child in roles.items()}
    return {
        role: (
            1000 * (after[role].cpu_s - before[role].cpu_s) / WINDOW_S,
            after[role].rss_mb,
        )
        for role in roles
    }
