"""The faults: what each does to one node, and how it is taken away again."""

__all__ = ["FAULTS", "Fault"]

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from wigeonscale.errors import RunState
from wigeonscale.testing.matrix.cluster import Cluster

SLOW_S = 0.15
# A planned stop cuts nothing, but may leave no server for new requests.
NOT_RUN_ONLY = frozenset({RunState.NOT_RUN})

Act = Callable[[Cluster, str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of fault.

    Attributes:
        name: Row of the table.
        strike: Makes the fault at a node.
        heal: Takes it away; what it broke is left to the system.
        hold_s: How long it lasts at least, in seconds.
        allows: Run states that an honest refusal may name while it lasts.
        silences: Whether the node loses its link to the others.
    """

    name: str
    strike: Act
    heal: Act
    hold_s: float = 0.0
    allows: frozenset[RunState] = frozenset(RunState)
    silences: bool = False


async def _kill(cluster: Cluster, node: str) -> None:
    await cluster.kill(node)


async def _restart(cluster: Cluster, node: str) -> None:
    await cluster.restart(node)


async def _lose_disk(cluster: Cluster, node: str) -> None:
    await cluster.kill(node)
    cluster.controls[node].lose_disk()


async def _isolate(cluster: Cluster, node: str) -> None:
    cluster.net.isolate(node)


async def _mute(cluster: Cluster, node: str) -> None:
    cluster.net.mute(node)


async def _stall_in(cluster: Cluster, node: str) -> None:
    cluster.net.stall(node, inbound=True)


async def _stall_out(cluster: Cluster, node: str) -> None:
    cluster.net.stall(node, inbound=False)


async def _slow(cluster: Cluster, node: str) -> None:
    cluster.net.slow(node, SLOW_S)


async def _heal_network(cluster: Cluster, node: str) -> None:
    cluster.net.heal(node)


async def _stop(cluster: Cluster, node: str) -> None:
    # In the background: it waits for the very work that is in progress.
    cluster.stopping[node] = asyncio.create_task(cluster.nodes[node].stop())


async def _start_stopped(cluster: Cluster, node: str) -> None:
    await cluster.stopping.pop(node)
    await cluster.nodes[node].start()


FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        Fault("kill", _kill, _restart),
        Fault("lost disk", _lose_disk, _restart),
        Fault("cut both ways", _isolate, _heal_network, hold_s=4.0, silences=True),
        Fault("cut one way", _mute, _heal_network, hold_s=4.0, silences=True),
        Fault("silent inbound", _stall_in, _heal_network, hold_s=2.0),
        Fault("silent outbound", _stall_out, _heal_network, hold_s=2.0),
        Fault("slow link", _slow, _heal_network, hold_s=1.0, allows=frozenset()),
        Fault("delayed messages", _isolate, _heal_network, hold_s=0.7),
        Fault("graceful stop", _stop, _start_stopped, allows=NOT_RUN_ONLY),
    )
}
