"""Detects agents that are gone and ends their incarnations."""

__all__ = ["Liveness"]

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator

from wigeonscale.adapters.metrics import METRICS, Metrics
from wigeonscale.control.commands import Commands
from wigeonscale.control.hub import Hub
from wigeonscale.control.probe import ProbeCache
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.control.watcher import Watcher
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock, Probe, ProbeResult
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState, Member
from wigeonscale.wire import wire_pb2 as wire

# Share of the lease after which a suspected agent that answers no probe is ended. It
# covers two heartbeats, since their interval is at most a sixth of the lease.
SUSPECT_SILENCE_LEASE_SHARE = 1 / 3
# A backend server that cannot load occupies a load slot that others wait for.
MAX_FAILED_ORDERS = 5
LOAD_TIMEOUT_S = 900.0
CHECKS_PER_DOWN_TIME = 12
# Checks run faster while an agent is suspected, since callers wait for the result.
SUSPECT_INTERVAL_S = 0.05
# A check that is late by this many intervals means that this process was paused and
# received no messages.
PAUSE_INTERVALS = 3
CONTROL = "control"

logger = logging.getLogger(__name__)


class Liveness:
    """Monitors the agents of this replica and, as leader, those of lost replicas.

    Args:
        node_id: Node id of this replica.
        state: Replicated state.
        replica: Local replica of the log.
        hub: Watch hub of this replica.
        commands: Submits commands to the replicated log.
        clock: Time source.
        down_after_s: Time without a message after which an agent is gone regardless
            of probes, in seconds. At least the lease, within which an agent replaces
            a silent connection.
        lease_s: Duration of the freshness lease, in seconds.
        forward_suspicion: Forwards a suspicion to the replica at an address; returns
            whether that replica received it.
        probe: Probes the agent at an address.
        metrics: Counts ended incarnations.
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
        # Long enough for all agents of a lost replica to attach to another one.
        self._grace_s = down_after_s + lease_s
        self._suspect_silence_s = lease_s * SUSPECT_SILENCE_LEASE_SHARE
        self._send_suspicion = forward_suspicion
        self._probe = probe
        self._guard = StepGuard(task="liveness", clock=clock)
        self._probes = ProbeCache(probe=probe, clock=clock, on_answer=self.wake)
        self._metrics = metrics
        # No agent is ended before this time.
        self._suspended_until = clock.now()
        # Agents attached to this replica before a restart may attach to another one.
        self._startup_grace_until = clock.now() + self._grace_s
        self._attached_before: set[tuple[str, int]] = set()
        self._checked_at = clock.now()
        self._leader_since: float | None = None
        self._absent_since: dict[tuple[str, int], float] = {}
        self._suspected_at: dict[tuple[str, int], float] = {}
        self._tasks: set[asyncio.Task] = set()
        self._ending: set[tuple[str, int]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Run the next check now, e.g. because a stream ended."""
        self._wake.set()

    def suspect(self, suspicion: wire.Suspect, *, source_role: str) -> None:
        """Check an agent that another process suspects.

        Args:
            suspicion: Suspicion that names the incarnation.
            source_role: Role of the sender; a suspicion that another replica
                forwarded is not forwarded again.
        """
        agent_id, incarnation = suspicion.agent_id, suspicion.incarnation
        if not self._state.members.is_announced(agent_id, incarnation):
            return
        replica_id = self._state.members.get(agent_id).replica
        if replica_id == self._node_id:
            self._suspected_at[agent_id, incarnation] = self._clock.now()
            self.wake()
        elif source_role != CONTROL:
            self._forward(replica_id, suspicion)

    async def run(self) -> None:
        """Check all agents periodically until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._tick())
                while True:
                    await self._wake.wait()
                    self._wake.clear()
                    with self._guard.step():
                        self._check()
        finally:
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._probes.close()

    async def _tick(self):
        while True:
            interval_s = SUSPECT_INTERVAL_S if self._suspected_at else self._interval_s
            await self._clock.sleep(min(interval_s, self._interval_s))
            self.wake()

    def _check(self):
        now = self._clock.now()
        if now - self._checked_at > PAUSE_INTERVALS * self._interval_s:
            logger.warning(
                "health checks were paused for %.3f s", now - self._checked_at
            )
            self._suspended_until = now + self._grace_s
        self._checked_at = now
        if not self._hub.is_fresh():
            # Agents may have moved without this replica knowing.
            self._suspended_until = max(self._suspended_until, now + self._down_after_s)
        for member, cause in self._find_gone(now):
            self._end_incarnation(member, cause)

    def _find_gone(self, now) -> Iterator[tuple[Member, str]]:
        own = self._state.members.attached_to(self._node_id)
        self._prune(own)
        keys = {_incarnation_key(member) for member in own}
        self._attached_before |= {key for key in keys if self._hub.agent(*key)}
        if now >= self._suspended_until:
            for member in own:
                cause = self._gone_cause(member, now)
                if cause:
                    yield member, cause
        yield from self._members_of_lost_replicas(now)

    def _prune(self, own):
        keys = {_incarnation_key(member) for member in own}
        self._ending = {n for n in self._ending if self._state.members.is_announced(*n)}
        self._attached_before &= keys
        for key in self._suspected_at.keys() - keys:
            del self._suspected_at[key]
        for key in self._absent_since.keys() - keys:
            del self._absent_since[key]
        self._probes.retain(keys)

    def _gone_cause(self, member, now):
        """Return why a member counts as gone, or an empty string if it does not."""
        key = _incarnation_key(member)
        watcher = self._hub.agent(*key)
        if watcher is None:
            if key not in self._attached_before and now < self._startup_grace_until:
                return ""
            silent_s = now - self._absent_since.setdefault(key, now)
        else:
            self._absent_since.pop(key, None)
            silent_s = now - watcher.last_message_at
        if silent_s >= self._down_after_s:
            return "stream-gone" if watcher is None else "silent"
        cause = self._probe_cause(member, watcher, silent_s)
        return cause or (_load_failure(watcher, now) if watcher else "")

    def _probe_cause(self, member, watcher, silent_s):
        """Probe an agent that is suspected or has no stream; return why it is gone."""
        key = _incarnation_key(member)
        is_suspected = self._is_suspected(key, watcher)
        if watcher is not None and not is_suspected:
            return ""
        since = max(self._suspected_at.get(key, 0.0), self._absent_since.get(key, 0.0))
        match self._probes.answer(key, member.backend.address, since):
            case ProbeResult.REFUSED:
                return "refused"
            case ProbeResult.ANSWERED:
                # Only its stream is broken or silent; the agent opens a new one.
                self._suspected_at.pop(key, None)
            case ProbeResult.NO_ANSWER if is_suspected:
                is_long = silent_s >= self._suspect_silence_s
                return "suspected" if is_long else ""
        return ""

    def _is_suspected(self, key, watcher):
        suspected_at = self._suspected_at.get(key)
        if suspected_at is None:
            return False
        if watcher is not None and watcher.last_message_at > suspected_at:
            del self._suspected_at[key]
            return False
        return True

    def _members_of_lost_replicas(self, now):
        if self._replica.role is not Role.LEADER:
            self._leader_since = None
            return
        if self._leader_since is None:
            self._leader_since = now
        if now - self._leader_since < self._grace_s or now < self._suspended_until:
            return
        for replica in self._state.members.replicas():
            if replica == self._node_id:
                continue
            if self._replica.seconds_since_peer_contact(replica) >= self._grace_s:
                for member in self._state.members.attached_to(replica):
                    yield member, "replica-lost"

    def _end_incarnation(self, member, cause):
        key = _incarnation_key(member)
        if key in self._ending:
            return
        self._ending.add(key)
        self._start(self._submit_end(member, cause))

    async def _submit_end(self, member, cause):
        agent_id, incarnation = key = _incarnation_key(member)
        end = wire.EndIncarnation(
            agent_id=agent_id, incarnation=incarnation, replica=member.replica
        )
        try:
            await self._commands.submit(wire.Command(end_incarnation=end))
        except WigeonscaleError as exc:
            self._ending.discard(key)
            logger.warning("could not end incarnation of %s: %s", agent_id, exc.message)
            return
        logger.info("incarnation of %s ended: %s", agent_id, cause)
        self._metrics.incarnations_ended.add(cause=cause)

    def _forward(self, replica_id, suspicion):
        for peer in self._replica.members():
            if peer.node_id == replica_id:
                self._start(self._forward_to(peer, suspicion))

    async def _forward_to(self, peer, suspicion):
        if await self._send_suspicion(peer.address, suspicion):
            return
        member = self._state.members.get(suspicion.agent_id)
        if member is None:
            return
        if await self._probe(member.backend.address) is ProbeResult.ANSWERED:
            return  # it attaches to another replica by itself
        # Neither the agent nor the replica it is attached to answers.
        member = self._state.members.get(suspicion.agent_id)
        if member is None or member.replica != peer.node_id:
            return
        if member.backend.incarnation == suspicion.incarnation:
            self._end_incarnation(member, "replica-lost")

    def _start(self, coro):
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _load_failure(watcher: Watcher, now: float) -> str:
    """Return the cause if a weight load hangs or fails repeatedly, else ""."""
    if watcher.sent_load is None:
        return ""
    is_hung = now - watcher.load_sent_at >= LOAD_TIMEOUT_S
    has_failed = watcher.failed_orders >= MAX_FAILED_ORDERS
    return "load-failed" if is_hung or has_failed else ""


def _incarnation_key(member: Member) -> tuple[str, int]:
    return member.backend.agent_id, member.backend.incarnation
