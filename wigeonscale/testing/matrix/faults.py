"""The faults of the matrix: how each is injected into a node and healed."""

__all__ = ["FAULTS", "Fault"]

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wigeonscale.errors import RunState
from wigeonscale.testing.matrix import contention
from wigeonscale.testing.matrix.duplication import Duplicator

if TYPE_CHECKING:
    from wigeonscale.testing.matrix.trial import Trial

SLOW_LINK_DELAY_S = 0.05
ANY_RUN_STATE = frozenset(RunState)
# A planned stop truncates no stream, but may leave no server for new requests.
NOT_RUN_ONLY = frozenset({RunState.NOT_RUN})

FaultAction = Callable[["Trial"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of fault.

    Attributes:
        name: Row of the table.
        inject: Injects the fault at the node of a trial.
        heal: Ends the fault; recovery from its effects is left to the system.
        min_duration_s: Minimum duration, in seconds.
        allowed_run_states: Run states that a refusal may report during the fault.
        disconnects: Whether the node loses its links to the other nodes.
        targets_node: Whether the fault affects one node; otherwise a step needs only
            one run.
    """

    name: str
    inject: FaultAction
    heal: FaultAction
    min_duration_s: float = 0.0
    allowed_run_states: frozenset[RunState] = ANY_RUN_STATE
    disconnects: bool = False
    targets_node: bool = True


async def _kill(trial: "Trial") -> None:
    await trial.cluster.kill(trial.node)


async def _restart(trial: "Trial") -> None:
    await trial.cluster.restart(trial.node)


async def _lose_disk(trial: "Trial") -> None:
    await trial.cluster.kill(trial.node)
    trial.cluster.controls[trial.node].lose_disk()


async def _isolate(trial: "Trial") -> None:
    trial.cluster.net.isolate(trial.node)


async def _block_outgoing(trial: "Trial") -> None:
    trial.cluster.net.block_outgoing(trial.node)


async def _stall_in(trial: "Trial") -> None:
    trial.cluster.net.stall(trial.node, inbound=True)


async def _stall_out(trial: "Trial") -> None:
    trial.cluster.net.stall(trial.node, inbound=False)


async def _slow(trial: "Trial") -> None:
    trial.cluster.net.slow(trial.node, SLOW_LINK_DELAY_S)


async def _heal_network(trial: "Trial") -> None:
    trial.cluster.net.heal(trial.node)


async def _stop(trial: "Trial") -> None:
    # Run in the background, because a graceful stop waits for the work in progress
    # that the calling step still has to finish.
    node = trial.cluster.nodes[trial.node]
    trial.background.append(asyncio.create_task(node.stop()))


async def _start_stopped(trial: "Trial") -> None:
    await trial.background.pop()
    await trial.cluster.nodes[trial.node].start()


async def _duplicate(trial: "Trial") -> None:
    """Route the node through a duplicator; existing connections are reset."""
    [relay] = trial.cluster.net.inbound_relays(trial.node)
    trial.duplicator = Duplicator(target=relay.target)
    await trial.duplicator.start()
    relay.target = trial.duplicator.address
    relay.abort()


async def _stop_duplicating(trial: "Trial") -> None:
    [relay] = trial.cluster.net.inbound_relays(trial.node)
    relay.target = trial.cluster.agents[trial.node].cfg.grpc
    relay.abort()
    await trial.duplicator.close()


async def _race(trial: "Trial") -> None:
    trial.background.append(asyncio.create_task(contention.race(trial)))


async def _resend(trial: "Trial") -> None:
    trial.background.append(asyncio.create_task(contention.resend(trial)))


async def _wait(trial: "Trial") -> None:
    await trial.background.pop()


FAULTS: dict[str, Fault] = {
    fault.name: fault
    for fault in (
        Fault("kill", _kill, _restart),
        Fault("lost disk", _lose_disk, _restart),
        Fault(
            "cut both ways",
            _isolate,
            _heal_network,
            min_duration_s=4.0,
            disconnects=True,
        ),
        Fault(
            "cut one way",
            _block_outgoing,
            _heal_network,
            min_duration_s=4.0,
            disconnects=True,
        ),
        Fault("silent inbound", _stall_in, _heal_network, min_duration_s=2.0),
        Fault("silent outbound", _stall_out, _heal_network, min_duration_s=2.0),
        Fault(
            "slow link",
            _slow,
            _heal_network,
            min_duration_s=1.0,
            allowed_run_states=frozenset(),
        ),
        Fault(
            "racing operators",
            _race,
            _wait,
            allowed_run_states=frozenset(),
            targets_node=False,
        ),
        Fault(
            "resend", _resend, _wait, allowed_run_states=frozenset(), targets_node=False
        ),
        Fault("delayed messages", _isolate, _heal_network, min_duration_s=0.7),
        Fault("doubled messages", _duplicate, _stop_duplicating),
        Fault("graceful stop", _stop, _start_stopped, allowed_run_states=NOT_RUN_ONLY),
    )
}
