"""Registry of backend servers that send heartbeats themselves, without an agent.

A heartbeat is soft state of the replica that receives it. Only changes go through the
log: a new incarnation, a different state or other layers, and a backend that becomes
silent or resumes its heartbeats. Heartbeats that change nothing cost no log entries.
"""

__all__ = ["Registry"]

import logging
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.backend_health import BackendHealthChecker
from wigeonscale.control.commands import Commands
from wigeonscale.control.last_heartbeat import LastHeartbeat, log_backend_change
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock, EngineProbeResult
from wigeonscale.replication import Replica
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class Registry:
    """Handles heartbeats and checks backends whose heartbeats are missing.

    Args:
        node_id: Node id of this replica.
        state: Replicated state.
        replica: Local replica of the log.
        commands: Submits commands to the replicated log.
        clock: Time source.
        heartbeat_s: Interval of the backends' heartbeats, in seconds.
        probe: Probes the backend at an address, given the start time in Unix
            milliseconds that identifies its incarnation.
        has_service: Returns whether the configuration has a service; true for all
            services while there is no configuration.
        trusts_witnesses: See :class:`BackendHealthChecker`.
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
        has_service: Callable[[str], bool],
        trusts_witnesses: Callable[[str], bool] = lambda service: False,
    ):
        self._node_id = node_id
        self._state = state
        self._commands = commands
        self._clock = clock
        self._has_service = has_service
        self._last_heartbeats: dict[str, LastHeartbeat] = {}
        self._health_checker = BackendHealthChecker(
            node_id=node_id,
            state=state,
            replica=replica,
            commands=commands,
            clock=clock,
            heartbeat_s=heartbeat_s,
            probe=probe,
            last_heartbeats=self._last_heartbeats,
            trusts_witnesses=trusts_witnesses,
        )

    async def announce(self, backend: wire.Backend, sequence: int) -> None:
        """Handle a heartbeat; returns once the state reflects it.

        Args:
            backend: State that the backend reports; its slowness is set here.
            sequence: Increasing sequence number of the heartbeat.

        Raises:
            WigeonscaleError: ``NO_QUORUM`` if it could not be committed,
                ``BAD_REQUEST`` if it is invalid or not from a configured backend.
        """
        name, started_ms = backend.agent_id, backend.started_ms
        self._validate_new_backend(backend)
        last = self._last_heartbeats.get(name)
        if last is not None and (started_ms, sequence) < last.sort_key:
            logger.info(
                "outdated heartbeat %d of backend server %s",
                sequence,
                name,
                extra=log_fields(
                    outcome="ignored", born=started_ms, newest_born=last.started_ms
                ),
            )
            return
        if self._state.members.is_ended(name, backend.incarnation):
            logger.info(
                "ignoring heartbeat %d of ended backend server %s", sequence, name
            )
            return
        self._last_heartbeats[name] = LastHeartbeat(
            self._clock.now(), started_ms, sequence
        )
        self._log_restart(backend)
        self._copy_slowness(backend)
        if self._is_committed(backend):
            return
        command = wire.Announce(
            backend=backend, replica=self._node_id, sequence=sequence
        )
        try:
            await self._commands.submit(wire.Command(announce=command))
        except WigeonscaleError as exc:
            if exc.kind not in (
                ErrorKind.STALE_INCARNATION,
                ErrorKind.REVISION_CONFLICT,
            ):
                raise
            logger.info(
                "heartbeat %d of backend server %s was refused: %s",
                sequence,
                name,
                exc.message,
            )
            return
        log_backend_change(backend, sequence)

    def _validate_new_backend(self, backend: wire.Backend) -> None:
        """Refuse a new backend that does not fit the configuration.

        A known member is always accepted, since it waits for the acknowledgement when
        it leaves.
        """
        if self._state.members.get(backend.agent_id) is not None:
            return
        if not self._has_service(backend.service):
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"backend server {backend.agent_id!r} names service"
                f" {backend.service!r}, which is not configured",
            )
        if not backend.started_ms and self._service_reports_start_times(
            backend.service
        ):
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"backend server {backend.agent_id!r} reports no start time, unlike"
                f" others of service {backend.service!r}",
            )

    def _service_reports_start_times(self, service: str) -> bool:
        return any(
            member.backend.started_ms and member.backend.service == service
            for member in self._state.members
        )

    def _copy_slowness(self, backend: wire.Backend) -> None:
        """Copy the slowness found by probes, which heartbeats do not report."""
        member = self._state.members.get(backend.agent_id)
        if member is not None and member.backend.incarnation == backend.incarnation:
            backend.slowness = member.backend.slowness

    def _log_restart(self, backend: wire.Backend) -> None:
        member = self._state.members.get(backend.agent_id)
        if member is None or member.backend.started_ms == backend.started_ms:
            return
        logger.info(
            "backend server %s restarted",
            backend.agent_id,
            extra=log_fields(
                outcome="restarted",
                old_born=member.backend.started_ms,
                born=backend.started_ms,
            ),
        )

    async def leave(self, backend_id: str, incarnation: int | None = None) -> None:
        """End an incarnation that announces its end; returns once committed.

        Args:
            backend_id: Name of the backend. An unknown name is ended too, so that a
                delayed heartbeat does not bring it back.
            incarnation: Start time of the incarnation; None for the announced one.

        Raises:
            WigeonscaleError: ``NO_QUORUM``.
        """
        ended = wire.EndIncarnation(agent_id=backend_id, incarnation=incarnation or 0)
        await self._commands.submit(wire.Command(end_incarnation=ended))
        if self._state.members.get(backend_id) is None:
            self._last_heartbeats.pop(backend_id, None)
        logger.info(
            "backend server %s left",
            backend_id,
            extra=log_fields(outcome="left", born=incarnation),
        )

    def suspect(self, req: wire.Suspect, *, source_role: str) -> None:
        """Probe a backend that another process suspects.

        Args:
            req: Suspicion that names the backend.
            source_role: Role of the process that reports it.
        """
        self._health_checker.suspect(req, source_role=source_role)

    def wake(self) -> None:
        """Do nothing, since backends without an agent have no stream that can end."""

    async def run(self) -> None:
        """Check all backends periodically until cancelled."""
        await self._health_checker.run()

    def _is_committed(self, backend: wire.Backend) -> bool:
        member = self._state.members.get(backend.agent_id)
        if member is None or member.replica != self._node_id:
            return False
        return member.backend == backend
