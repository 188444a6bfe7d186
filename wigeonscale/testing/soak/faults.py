"""Random faults of one run, determined by its seed."""

__all__ = ["Fault", "draw_faults", "inject"]

import asyncio
import random
import signal
from dataclasses import dataclass

from wigeonscale.testing.matrix.relay import Direction
from wigeonscale.testing.soak.backends import Backend
from wigeonscale.testing.soak.deployment import Deployment

# Node faults are injected by signals to a daemon, link faults at the relay of a
# backend server.
NODE_KINDS = ("kill", "pause", "stop", "hangup", "wipe")
LINK_KINDS = ("reset", "silence", "one-way", "delay", "die")
# Those after which a response may never go on.
BREAKING_LINK_KINDS = frozenset({"reset", "silence", "one-way"})
DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        start_s: Start, in seconds from the start of the load.
        kind: One of ``NODE_KINDS`` or ``LINK_KINDS``.
        target: Index of the daemon or backend server.
        duration_s: Duration, in seconds.
    """

    start_s: float
    kind: str
    target: int
    duration_s: float


def draw_faults(
    rng: random.Random, *, seconds: float, nodes: int, backends: int
) -> list[Fault]:
    """Return the random faults of a run in the order of their start.

    Faults may overlap.

    Args:
        rng: Seeded source of randomness.
        seconds: Duration of the load.
        nodes: Number of daemons.
        backends: Number of backend servers.
    """
    faults = []
    for _ in range(max(2, int(seconds))):
        is_node = rng.random() < 0.5
        faults.append(
            Fault(
                start_s=rng.uniform(0.0, 0.8 * seconds),
                kind=rng.choice(NODE_KINDS if is_node else LINK_KINDS),
                target=rng.randrange(nodes if is_node else backends),
                duration_s=rng.uniform(0.2, 2.5),
            )
        )
    return sorted(faults, key=lambda fault: fault.start_s)


async def inject(
    fault: Fault,
    *,
    dep: Deployment,
    backends: list[Backend],
    control_lock: asyncio.Lock,
) -> str | None:
    """Inject one fault and heal it.

    Args:
        fault: The fault.
        dep: The daemons.
        backends: The backend servers.
        control_lock: Held while a control replica is down, because the deployment
            tolerates the loss of one at a time.

    Returns:
        A description if a control replica has not caught up afterwards, else None.
    """
    if fault.kind in LINK_KINDS:
        await _inject_link_fault(fault, backends[fault.target])
        return None
    node = dep.nodes[fault.target]
    if node.role == "direct-control" and fault.kind != "hangup":
        async with control_lock:
            await _inject_node_fault(fault, dep, node)
            # The replica counts as lost until then.
            try:
                await dep.wait_until_caught_up(node)
            except TimeoutError:
                return f"{node.name} has not caught up after a {fault.kind}"
    else:
        await _inject_node_fault(fault, dep, node)
    return None


async def _inject_node_fault(fault, dep, node) -> None:
    if node.child.proc.returncode is not None:
        return  # another fault has stopped it
    if fault.kind == "hangup":
        node.send_signal(signal.SIGHUP)
    elif fault.kind == "pause":
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        node.send_signal(signal.SIGCONT)
    else:
        await _restart(fault, dep, node)


async def _restart(fault, dep, node) -> None:
    async with node.restart_lock:
        graceful = fault.kind == "stop"
        await dep.kill(node, signal.SIGTERM if graceful else signal.SIGKILL)
        await asyncio.sleep(fault.duration_s / 2)
        if fault.kind == "wipe":
            dep.wipe(node)
        await dep.start(node)


async def _inject_link_fault(fault, backend) -> None:
    checker, server = backend.checker, backend.name
    now = asyncio.get_running_loop().time
    began_at = now()
    checker.notices.begin_link_fault(server, began_at)
    try:
        await _disturb_link(fault, backend)
    finally:
        checker.notices.end_link_fault(server, now())
        if fault.kind in BREAKING_LINK_KINDS:
            checker.responses.record_link_fault(
                backend.service, backend.relay.address, began_at, now()
            )


async def _disturb_link(fault, backend) -> None:
    relay = backend.relay
    if fault.kind == "reset":
        relay.abort()
        return
    if fault.kind == "die":
        await backend.stop()
        await asyncio.sleep(fault.duration_s)
        if not backend.is_running:
            await backend.start()
        return
    if fault.kind == "delay":
        relay.delay_s = DELAY_S
    elif fault.kind == "silence":
        relay.stall_existing()
    else:
        relay.block(Direction.DOWN, new=True)
    await asyncio.sleep(fault.duration_s)
    relay.heal()
