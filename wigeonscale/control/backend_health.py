"""Health checks of backend servers that miss heartbeats or are suspected."""

__all__ = ["BackendHealthChecker"]

import asyncio
import functools
import logging
import math
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.commands import Commands
from wigeonscale.control.last_heartbeat import LastHeartbeat, log_backend_change
from wigeonscale.control.loss_witnesses import LossWitnesses
from wigeonscale.control.step_guard import StepGuard
from wigeonscale.errors import WigeonscaleError
from wigeonscale.ports import Clock, EngineProbeResult, ProbeResult
from wigeonscale.replication import Replica, Role
from wigeonscale.state import ControlState, Member
from wigeonscale.wire import wire_pb2 as wire

# One broken connection can lose two heartbeats.
MAX_MISSED_HEARTBEATS = 3
CHECKS_PER_HEARTBEAT = 4
# Probes sent to a backend that an entry suspects, or that misses heartbeats, before it
# counts as silent. The path of its heartbeats may be cut while the engine is alive.
PROBE_ATTEMPTS = 2
PROBE_RETRY_S = 0.1
# Time after an answer within which a hint causes no further probe of the backend. Many
# entries see the same path stall, and a probe costs some engines 5 ms of work.
HINT_PROBE_INTERVAL_S = 1.0
# Interval at which a slow backend is probed to see whether it has recovered.
SLOW_PROBE_INTERVAL_S = 1.0
# Factor on an engine's usual times from which it counts as slow. Busy but healthy
# engines report 1.
MIN_SLOW_PACE = 1.5
MAX_SLOWNESS = 64


logger = logging.getLogger(__name__)


class BackendHealthChecker:
    """Probes backends and commits which ones are silent or slow.

    Args:
        node_id: Node id of this replica.
        state: Replicated state.
        replica: Local replica of the log.
        commands: Submits commands to the replicated log.
        clock: Time source.
        heartbeat_s: Interval of the backends' heartbeats, in seconds.
        probe: Probes the backend at an address, given the start time in Unix
            milliseconds that identifies its incarnation.
        last_heartbeats: Last heartbeats by name; the answer to a probe counts as one.
        trusts_witnesses: Returns whether backends of a service, given by name, count as
            silent as soon as several entries found them unreachable.
    """

    def __init__(
        self,
        *,
        node_id: str,
        state: ControlState,
        replica: Replica,
        commands: Commands,
        clock: Clock,
        heartbeat_s: float,
        probe: Callable[[str, int], Awaitable[EngineProbeResult]],
        last_heartbeats: dict[str, LastHeartbeat],
        trusts_witnesses: Callable[[str], bool],
    ):
        self._node_id = node_id
        self._state = state
        self._replica = replica
        self._commands = commands
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._silent_after_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._probe = probe
        self._last_heartbeats = last_heartbeats
        self._trusts_witnesses = trusts_witnesses
        self._witnesses = LossWitnesses(clock=clock)
        self._guard = StepGuard(task="health checks", clock=clock)
        self._witness_commits: dict[str, asyncio.Task] = {}
        self._running_checks: dict[str, asyncio.Task] = {}
        self._last_answer_at: dict[str, float] = {}
        self._started_at = clock.now()
        self._replica_lost_since: dict[str, float] = {}

    def suspect(self, req: wire.Suspect, *, source_role: str) -> None:
        """Probe a backend that another process suspects.

        Args:
            req: Suspicion that names the backend.
            source_role: Role of the process that reports it.
        """
        member = self._state.members.get(req.agent_id)
        if member is None or member.backend.silent:
            return
        if self._is_confirmed(member, req):
            self._commit_loss(member, req)
        if req.agent_id in self._running_checks:
            return
        if req.incarnation not in (0, member.backend.incarnation):
            logger.info(
                "ignoring suspicion of a former incarnation of backend server %s",
                req.agent_id,
                extra=log_fields(
                    born=req.incarnation, newest_born=member.backend.started_ms
                ),
            )
            return
        if req.is_hint and self._answered_recently(req.agent_id):
            return
        logger.info(
            "backend server %s is suspected, reported by %s",
            req.agent_id,
            source_role,
            extra=log_fields(is_hint=req.is_hint),
        )
        self._start_check(member)

    def _is_confirmed(self, member: Member, req: wire.Suspect) -> bool:
        """Return whether several entries found a backend unreachable."""
        return (
            req.incarnation == member.backend.incarnation
            and self._trusts_witnesses(member.backend.service)
            and self._witnesses.confirms(req, domain=member.backend.domain)
        )

    def _commit_loss(self, member: Member, req: wire.Suspect) -> None:
        if req.agent_id in self._witness_commits:
            return
        logger.info(
            "backend server %s is unreachable for several entries",
            req.agent_id,
            extra=log_fields(
                outcome="silent",
                witness=req.witness,
                domain=member.backend.domain,
                born=member.backend.started_ms,
            ),
        )
        name = req.agent_id
        task = asyncio.create_task(self._mark_silent(member, may_go_on=True))
        self._witness_commits[name] = task
        task.add_done_callback(functools.partial(self._forget_witnesses, name))

    def _forget_witnesses(self, name: str, task: asyncio.Task) -> None:
        self._witness_commits.pop(name, None)
        self._report_failure(name, task)

    def _answered_recently(self, name: str) -> bool:
        answered_at = self._last_answer_at.get(name, float("-inf"))
        return self._clock.now() - answered_at < HINT_PROBE_INTERVAL_S

    async def run(self) -> None:
        """Check all backends periodically until cancelled."""
        try:
            while True:
                await self._clock.sleep(self._heartbeat_s / CHECKS_PER_HEARTBEAT)
                with self._guard.step():
                    self._update_lost_replicas()
                    self._expire_answers()
                    for member in self._members_to_check():
                        self._start_check(member)
        finally:
            tasks = [*self._running_checks.values(), *self._witness_commits.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _expire_answers(self) -> None:
        self._last_answer_at = {
            name: at
            for name, at in self._last_answer_at.items()
            if self._clock.now() - at < HINT_PROBE_INTERVAL_S
        }

    def _members_to_check(self) -> list[Member]:
        """Return the members that are overdue, or slow and due for another probe."""
        return [
            member
            for member in self._state.members
            if not member.backend.silent
            and member.backend.agent_id not in self._running_checks
            and self._is_responsible_for(member.replica)
            and (
                self._silence_s(member) > self._silent_after_s
                or self._is_slowness_check_due(member)
            )
        ]

    def _is_slowness_check_due(self, member: Member) -> bool:
        """Return whether a slow backend is due for another probe."""
        if not member.backend.slowness:
            return False
        answered_at = self._last_answer_at.get(member.backend.agent_id, float("-inf"))
        return self._clock.now() - answered_at >= SLOW_PROBE_INTERVAL_S

    def _update_lost_replicas(self) -> None:
        """Update since when this leader has lost each replica that has backends."""
        now = self._clock.now()
        lost = {
            name
            for name in self._state.members.replicas()
            if name != self._node_id
            and self._replica.role is Role.LEADER
            and self._replica.seconds_since_peer_contact(name) > self._silent_after_s
        }
        self._replica_lost_since = {
            name: self._replica_lost_since.get(name, now) for name in lost
        }

    def _is_responsible_for(self, replica: str) -> bool:
        return replica == self._node_id or replica in self._replica_lost_since

    def _silence_s(self, member: Member) -> float:
        """Return how long this replica has missed heartbeats of a backend, in seconds.

        Counts from the last heartbeat, but not from before this replica started or
        noticed that the backend's replica is lost: backends of a lost replica need one
        or two heartbeats to find another one.
        """
        last = self._last_heartbeats.get(member.backend.agent_id)
        since = self._replica_lost_since.get(member.replica, self._started_at)
        return self._clock.now() - max(since, last.received_at if last else since)

    def _start_check(self, member: Member) -> None:
        name = member.backend.agent_id
        task = asyncio.create_task(self._check(member))
        self._running_checks[name] = task
        task.add_done_callback(functools.partial(self._forget_check, name))

    def _forget_check(self, name: str, task: asyncio.Task) -> None:
        self._running_checks.pop(name, None)
        self._report_failure(name, task)

    def _report_failure(self, name: str, task: asyncio.Task) -> None:
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self._guard.report(exc, backend=name)

    async def _check(self, member: Member) -> None:
        name, started_ms = member.backend.agent_id, member.backend.started_ms
        for _ in range(PROBE_ATTEMPTS):
            probe_result = await self._probe(member.backend.address, started_ms)
            answer = probe_result.result
            if answer is ProbeResult.ANSWERED:
                self._record_answer(name, started_ms, member.sequence)
                self._witnesses.forget(name, member.backend.incarnation)
                if name in self._witness_commits:
                    # It would be committed after the answer.
                    await asyncio.wait({self._witness_commits[name]})
                await self._unmark_silent(name, started_ms)
                await self._update_slowness(name, started_ms, probe_result.pace)
                return
            if answer in (ProbeResult.REFUSED, ProbeResult.REPLACED):
                # The port refuses, or a later incarnation answers. This one has ended,
                # and streams through it stall until entries are notified.
                await self._mark_silent(member, may_go_on=False)
                return
            await self._clock.sleep(PROBE_RETRY_S)
        await self._mark_silent(member, may_go_on=True)

    def _record_answer(self, name: str, started_ms: int, sequence: int) -> None:
        """Count the answer to a probe as a heartbeat unless a later one arrived."""
        now = self._clock.now()
        self._last_answer_at[name] = now
        last = self._last_heartbeats.get(name)
        if last is None or last.sort_key <= (started_ms, sequence):
            self._last_heartbeats[name] = LastHeartbeat(now, started_ms, sequence)
        elif last.started_ms == started_ms:
            last.received_at = now

    async def _update_slowness(self, name: str, started_ms: int, pace: float) -> None:
        """Commit the slowness of an engine if it changed, which notifies entries."""
        member = self._state.members.get(name)
        slowness = _slowness(pace)
        if member is None or member.backend.started_ms != started_ms:
            return
        if member.backend.slowness == slowness:
            return
        backend = wire.Backend()
        backend.CopyFrom(member.backend)
        backend.slowness = slowness
        await self._commit_backend(backend, member)

    async def _mark_silent(self, member: Member, *, may_go_on: bool) -> None:
        backend = wire.Backend()
        backend.CopyFrom(member.backend)
        backend.silent = True
        backend.may_go_on = may_go_on
        await self._commit_backend(backend, member)

    async def _unmark_silent(self, name: str, started_ms: int) -> None:
        """Take back that a backend is silent if it has answered since.

        Entries may have been wrong together, for example after lost packets.
        """
        member = self._state.members.get(name)
        if (
            member is None
            or not member.backend.silent
            or member.backend.started_ms != started_ms
        ):
            return
        backend = wire.Backend()
        backend.CopyFrom(member.backend)
        backend.silent = backend.may_go_on = False
        await self._commit_backend(backend, member)

    async def _commit_backend(self, backend: wire.Backend, member: Member) -> None:
        """Commit the state of a backend that a probe found."""
        command = wire.Announce(
            backend=backend, replica=member.replica, sequence=member.sequence
        )
        try:
            await self._commands.submit(wire.Command(announce=command))
        except WigeonscaleError as exc:
            logger.warning(
                "could not commit probe result of backend server %s: %s",
                backend.agent_id,
                exc.message,
            )
            return
        log_backend_change(backend, member.sequence)


def _slowness(pace: float) -> int:
    """Round a factor on usual times to a power of two; 0 if about as usual.

    Rounding keeps a fluctuating pace from causing many log entries.
    """
    if pace < MIN_SLOW_PACE:
        return 0
    return min(MAX_SLOWNESS, 2 ** round(math.log2(pace)))
