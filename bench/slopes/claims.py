"""Cost of an idempotency claim at the control leader and its followers."""

__all__ = ["HOLDER", "claims", "measure"]

import time
from collections.abc import Iterator

from bench.slopes.daemons import ControlGroup, control_group
from bench.slopes.fit import Slope, fit
from bench.slopes.members import announcements, backend
from bench.slopes.processes import run_folder
from wigeonscale.wire import wire_pb2 as wire

FOLLOWERS = (0, 2, 4, 6)
IN_FLIGHT = (1, 8, 64, 256)
CLAIMS = 2_000
CLAIMS_ONE_BY_ONE = 300
GROUP_COMMIT = 64
# No snapshots during a measurement; their cost is measured in ``snapshots``.
SETTINGS = {"snapshot_entries": 1_000_000, "down_after_s": 600}
HOLDER = "holder"


async def measure() -> list[Slope]:
    """Measure by number of followers, then by number of claims in flight."""
    return [*await _by_followers(), *await _by_in_flight()]


async def _by_followers() -> list[Slope]:
    leader, follower, log = [], [], []
    for count in FOLLOWERS:
        with run_folder() as folder:
            async with control_group(folder, count + 1, **SETTINGS) as group:
                figures = await _run(group, CLAIMS, GROUP_COMMIT)
        leader.append((count, figures["leader"]))
        log.append((count, figures["log"]))
        if count:
            follower.append((count, figures["follower"]))
    many = f"{GROUP_COMMIT} claims in flight"
    return [
        fit(f"control leader, {many}: cpu", "follower", "us/claim", leader),
        fit(f"control follower, {many}: cpu", "follower", "us/claim", follower),
        fit("claim: log bytes on each disk", "follower", "B/claim", log),
    ]


async def _by_in_flight() -> list[Slope]:
    points: dict[str, list[tuple[float, float]]] = {}
    with run_folder() as folder:
        async with control_group(folder, 3, **SETTINGS) as group:
            for in_flight in IN_FLIGHT:
                count = CLAIMS_ONE_BY_ONE if in_flight == 1 else CLAIMS
                figures = await _run(group, count, in_flight)
                for key, value in figures.items():
                    # Costs shared by a batch are linear in 1 / batch size.
                    points.setdefault(key, []).append((1 / in_flight, value))
    per = "1 / claims in flight"
    return [
        fit("control leader of 3: cpu", per, "us/claim", points["leader"]),
        fit("control follower of 3: cpu", per, "us/claim", points["follower"]),
        fit("control leader of 3: syncs", per, "syncs/claim", points["syncs"]),
        fit("control leader of 3: time", per, "us/claim", points["time"]),
    ]


async def _run(group: ControlGroup, count: int, in_flight: int) -> dict[str, float]:
    """Commit claims and return the costs per claim."""
    await group.submit_all(announcements([HOLDER], replica="c0"))
    leader = await group.leader()
    watched = {"leader": leader}
    if len(group.replicas) > 1:
        watched["follower"] = (leader + 1) % len(group.replicas)
    before = {key: group.replicas[n].usage().cpu_s for key, n in watched.items()}
    log, syncs = group.log_bytes(leader), group.syncs(leader)
    began = time.monotonic()
    prefix = f"{in_flight}-{began}"
    results = await group.submit_all(claims(prefix, count), in_flight)
    elapsed_s = time.monotonic() - began
    if not all(result.granted for result in results):
        raise RuntimeError("a claim was not granted")
    scale = 1e6 / count
    figures = {
        key: scale * (group.replicas[n].usage().cpu_s - before[key])
        for key, n in watched.items()
    }
    figures["log"] = (group.log_bytes(leader) - log) / count
    figures["syncs"] = (group.syncs(leader) - syncs) / count
    figures["time"] = scale * elapsed_s
    return figures


def claims(prefix: str, count: int) -> Iterator[wire.Command]:
    """Yield commands that claim requests for one announced agent.

    Args:
        prefix: Prefix of the idempotency keys.
        count: Number of commands.

    Yields:
        Commands whose names and ids are as long as in production.
    """
    holder = backend(HOLDER)
    for number in range(count):
        dispatch_id = f"0123456789abcdef-{number:08}@{HOLDER}"
        claim = wire.Claim(
            organisation=f"organisation-{number % 30_000}",
            key=f"{prefix}-{number:08}",
            digest=b"0123456789abcdef0123456789abcdef",
            dispatch_id=dispatch_id,
            agent_id=HOLDER,
            agent_incarnation=holder.incarnation,
            agent_address=holder.address,
            request_id=dispatch_id,
        )
        yield wire.Command(claim=claim)
