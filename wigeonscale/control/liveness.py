"""Decides that an agent is gone and ends its incarnation."""

__all__ = ["Liveness"]

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator

from wigeonscale.adapters.metrics import METRICS, Metrics
from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.probe import Probes
from wigeonscale.control.watcher import Watcher
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock, Probe, ProbeAnswer
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState, Member
from wigeonscale.wire import wire_pb2 as wire

# Share of the lease that a suspected agent may be silent for when it does not answer
# a probe either: two heartbeats, since one is a sixth of the lease at most.
SUSPECT_SILENCE_SHARE = 1 / 3
# A backend server that cannot load holds up a weight load that others wait for.
MAX_FAILED_ORDERS = 5
LOAD_TIMEOUT_S = 900.0
CHECKS_PER_DOWN_TIME = 12
# While an agent is suspected, someone waits for the decision.
SUSPECT_INTERVAL_S = 0.05
# A check this late means that this process stood still; it heard nobody meanwhile.
PAUSED_CHECKS = 3
CONTROL = "control"

logger = logging.getLogger(__name__)


class Liveness:
    """Watches the agents attached here, and as leader those of lost replicas.

    Args:
        node_id: Name of this replica.
        state: The replicated state.
        replica: This replica.
        hub: Its watch hub.
        commands: Way of commands to the log.
        clock: Clock port.
        down_after_s: Time without a word after which an agent is gone whatever a
            probe says, in seconds; no shorter than the lease, in which an agent
            replaces a silent connection.
        lease_s: Time of the freshness lease, in seconds.
        forward_suspicion: Passes a suspicion on to the replica at an address; returns
            whether that replica took it.
        probe: Asks the agent at an address itself.
        metrics: Where ended incarnations are counted.
    """

    def __init__(
        self,
        *,
        node_id: str,
        state: ControlState,
        replica: Replica,
        hub: Hub,
        commands: Commands,
        clock: Clock,
        down_after_s: float,
        lease_s: float,
        forward_suspicion: Callable[[str, wire.Suspect], Awaitable[bool]],
        probe: Probe,
        metrics: Metrics = METRICS,
    ):
        self._node_id = node_id
        self._state = state
        self._replica = replica
        self._hub = hub
        self._commands = commands
        self._clock = clock
        self._down_after_s = down_after_s
        self._interval_s = down_after_s / CHECKS_PER_DOWN_TIME
        # Long enough for every agent of a lost replica to attach elsewhere.
        self._grace_s = down_after_s + lease_s
        self._suspect_silence_s = lease_s * SUSPECT_SILENCE_SHARE
        self._tell_replica = forward_suspicion
        self._probe = probe
        self._probes = Probes(probe=probe, clock=clock, on_answer=self.wake)
        self._metrics = metrics
        self._quiet_until = clock.now()
        # Agents that were attached here before a restart may attach elsewhere.
        self._started_until = clock.now() + self._grace_s
        self._seen: set[tuple[str, int]] = set()
        self._checked_at = clock.now()
        self._led_since: float | None = None
        self._absent_since: dict[tuple[str, int], float] = {}
        self._suspected_at: dict[tuple[str, int], float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._ending: set[tuple[str, int]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Check soon, since a stream ended."""
        self._wake.set()

    def suspect(self, suspicion: wire.Suspect, *, came_from: str) -> None:
        """Check an agent that did not answer someone.

        Args:
            suspicion: Names the incarnation.
            came_from: Role of the sender; a suspicion that another replica passed
                on is not passed on again.
        """
        agent_id, incarnation = suspicion.agent_id, suspicion.incarnation
        if not self._state.members.holds(agent_id, incarnation):
            return
        holder = self._state.members.get(agent_id).replica
        if holder == self._node_id:
            self._suspected_at[agent_id, incarnation] = self._clock.now()
            self.wake()
        elif came_from != CONTROL:
            self._pass_on(holder, suspicion)

    async def run(self) -> None:
        """Check until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick())
                while True:
                    await self._wake.wait()
                    self._wake.clear()
                    self._check()
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._probes.close()

    async def _tick(self):
        while True:
            quickest_s = SUSPECT_INTERVAL_S if self._suspected_at else self._interval_s
            await self._clock.sleep(min(quickest_s, self._interval_s))
            self.wake()

    def _check(self):
        now = self._clock.now()
        if now - self._checked_at > PAUSED_CHECKS * self._interval_s:
            logger.warning("checks stood still for %.3f s", now - self._checked_at)
            self._quiet_until = now + self._grace_s
        self._checked_at = now
        if not self._hub.is_fresh():
            # Agents may have moved without this replica's knowledge.
            self._quiet_until = max(self._quiet_until, now + self._down_after_s)
        for member, cause in self._gone(now):
            self._end(member, cause)

    def _gone(self, now) -> Iterator[tuple[Member, str]]:
        own = self._state.members.attached_to(self._node_id)
        self._forget(own)
        names = {_name(member) for member in own}
        self._seen |= {name for name in names if self._hub.agent(*name)}
        if now >= self._quiet_until:
            for member in own:
                cause = self._cause(member, now)
                if cause:
                    yield member, cause
        yield from self._of_lost_replicas(now)

    def _forget(self, own):
        names = {_name(member) for member in own}
        self._ending = {n for n in self._ending if self._state.members.holds(*n)}
        self._seen &= names
        for name in self._suspected_at.keys() - names:
            del self._suspected_at[name]
        for name in self._absent_since.keys() - names:
            del self._absent_since[name]
        self._probes.keep(names)

    def _cause(self, member, now):
        """Return why a member counts as gone, or an empty string."""
        name = _name(member)
        watcher = self._hub.agent(*name)
        if watcher is None:
            if name not in self._seen and now < self._started_until:
                return ""
            silent_s = now - self._absent_since.setdefault(name, now)
        else:
            self._absent_since.pop(name, None)
            silent_s = now - watcher.last_message_at
        if silent_s >= self._down_after_s:
            return "stream-gone" if watcher is None else "silent"
        cause = self._cause_by_probe(member, watcher, silent_s)
        return cause or (_load_failure(watcher, now) if watcher else "")

    def _cause_by_probe(self, member, watcher, silent_s):
        """Ask an agent that is suspected, or has no stream, whether it is there."""
        name = _name(member)
        is_suspected = self._is_suspected(name, watcher)
        if watcher is not None and not is_suspected:
            return ""
        since = max(
            self._suspected_at.get(name, 0.0), self._absent_since.get(name, 0.0)
        )
        match self._probes.answer(name, member.backend.address, since):
            case ProbeAnswer.REFUSED:
                return "refused"
            case ProbeAnswer.ANSWERED:
                # Only its stream is broken or silent, and it makes another.
                self._suspected_at.pop(name, None)
            case ProbeAnswer.NOTHING if is_suspected:
                is_long = silent_s >= self._suspect_silence_s
                return "suspected" if is_long else ""
        return ""

    def _is_suspected(self, name, watcher):
        suspected_at = self._suspected_at.get(name)
        if suspected_at is None:
            return False
        if watcher is not None and watcher.last_message_at > suspected_at:
            del self._suspected_at[name]
            return False
        return True

    def _of_lost_replicas(self, now):
        if self._replica.role is not Role.LEADER:
            self._led_since = None
            return
        if self._led_since is None:
            self._led_since = now
        if now - self._led_since < self._grace_s or now < self._quiet_until:
            return
        for replica in self._state.members.replicas():
            if replica == self._node_id:
                continue
            if self._replica.peer_silence(replica) >= self._grace_s:
                for member in self._state.members.attached_to(replica):
                    yield member, "replica-lost"

    def _end(self, member, cause):
        name = _name(member)
        if name in self._ending:
            return
        self._ending.add(name)
        self._start(self._submit_end(member, cause))

    async def _submit_end(self, member, cause):
        agent_id, incarnation = name = _name(member)
        end = wire.EndIncarnation(
            agent_id=agent_id, incarnation=incarnation, replica=member.replica
        )
        try:
            await self._commands.submit(wire.Command(end_incarnation=end))
        except WigeonscaleError as exc:
            self._ending.discard(name)
            logger.warning("incarnation of %s not ended: %s", agent_id, exc.message)
            return
        logger.info("incarnation of %s ended: %s", agent_id, cause)
        self._metrics.incarnations_ended.add(cause=cause)

    def _pass_on(self, holder, suspicion):
        for peer in self._replica.members():
            if peer.node_id == holder:
                self._start(self._pass_on_to(peer, suspicion))

    async def _pass_on_to(self, peer, suspicion):
        if await self._tell_replica(peer.address, suspicion):
            return
        member = self._state.members.get(suspicion.agent_id)
        if member is None:
            return
        if await self._probe(member.backend.address) is ProbeAnswer.ANSWERED:
            return  # it attaches to another replica by itself
        # Neither the agent nor the replica it is attached to answers.
        member = self._state.members.get(suspicion.agent_id)
        if member is None or member.replica != peer.node_id:
            return
        if member.backend.incarnation == suspicion.incarnation:
            self._end(member, "replica-lost")

    def _start(self, coro):
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _load_failure(watcher: Watcher, now: float) -> str:
    """Return that a weight load hangs or fails again and again, or nothing."""
    if watcher.sent_load is None:
        return ""
    is_hung = now - watcher.load_since >= LOAD_TIMEOUT_S
    has_failed = watcher.failed_orders >= MAX_FAILED_ORDERS
    return "load-failed" if is_hung or has_failed else ""


def _name(member: Member) -> tuple[str, int]:
    return member.backend.agent_id, member.backend.incarnation
