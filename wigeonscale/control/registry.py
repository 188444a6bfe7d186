"""Backend servers that announce themselves with heartbeats, without an agent.

A heartbeat is soft state of the replica that took it. Only what changes goes through
the log: a new incarnation, a state or layers that differ, one that fell silent or was
heard again. So a quiet deployment costs no log entries, however many heartbeats come.
"""

__all__ = ["Registry"]

import logging
from collections.abc import Awaitable, Callable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.control.backend_health import BackendHealthChecker
from wigeonscale.control.commands import Commands
from wigeonscale.control.last_heartbeat import LastHeartbeat, log_backend_change
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock, EngineSign
from wigeonscale.replication import Replica
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class Registry:
    """Takes heartbeats, and judges those that stay away.

    Args:
        node_id: Name of this replica.
        state: The replicated state.
        replica: This replica.
        commands: Way of commands to the log.
        clock: Clock port.
        heartbeat_s: Interval of the backends' heartbeats, in seconds.
        probe: Asks the backend at an address whether it is there, and whether it is
            the one that started at that Unix millisecond.
        has_service: Returns whether the configuration names a service; all are taken
            for named before there is one.
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
        probe: Callable[[str, int], Awaitable[EngineSign]],
        has_service: Callable[[str], bool],
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
        )

    async def announce(self, backend: wire.Backend, sequence: int) -> None:
        """Take a heartbeat; returns once the state shows what it says.

        Args:
            backend: What the backend says of itself.
            sequence: Number of its announcement, growing.

        Raises:
            WigeonscaleError: It could not be committed, ``NO_QUORUM``; or it is
                wrong in itself, or not of one of the backends, ``BAD_REQUEST``.
        """
        name, started_ms = backend.agent_id, backend.started_ms
        self._validate_new_backend(backend)
        last = self._last_heartbeats.get(name)
        if last is not None and (started_ms, sequence) < last.sort_key:
            logger.info(
                "heartbeat %d of %s is late",
                sequence,
                name,
                extra=log_fields(
                    outcome="ignored", born=started_ms, newest_born=last.started_ms
                ),
            )
            return
        if self._state.members.is_ended(name, backend.incarnation):
            logger.info("heartbeat %d of ended %s ignored", sequence, name)
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
            logger.info("heartbeat %d of %s: %s", sequence, name, exc.message)
            return
        log_backend_change(backend, sequence)

    def _validate_new_backend(self, backend: wire.Backend) -> None:
        """Refuse a new name that no backend of the configuration can have.

        One that is a member is heard in any case: when it leaves, it waits for the
        acknowledgement.
        """
        if self._state.members.get(backend.agent_id) is not None:
            return
        if not self._has_service(backend.service):
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"{backend.agent_id!r} names the service {backend.service!r},"
                " which the configuration does not have",
            )
        if not backend.started_ms and self._service_reports_start_times(
            backend.service
        ):
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"{backend.agent_id!r} does not say when it started, which the others"
                f" of {backend.service!r} do",
            )

    def _service_reports_start_times(self, service: str) -> bool:
        return any(
            member.backend.started_ms and member.backend.service == service
            for member in self._state.members
        )

    def _copy_slowness(self, backend: wire.Backend) -> None:
        """Add to a heartbeat what probes told, which it does not say itself."""
        member = self._state.members.get(backend.agent_id)
        if member is not None and member.backend.incarnation == backend.incarnation:
            backend.slowness = member.backend.slowness

    def _log_restart(self, backend: wire.Backend) -> None:
        member = self._state.members.get(backend.agent_id)
        if member is None or member.backend.started_ms == backend.started_ms:
            return
        logger.info(
            "backend server %s started again",
            backend.agent_id,
            extra=log_fields(
                outcome="restarted",
                old_born=member.backend.started_ms,
                born=backend.started_ms,
            ),
        )

    async def leave(self, backend_id: str, incarnation: int | None = None) -> None:
        """End an incarnation that says it is going; returns once that is committed.

        Args:
            backend_id: Its name; an unknown one is ended too, so that a heartbeat
                that was delayed does not bring it back.
            incarnation: Its start; None for the one that is announced.

        Raises:
            WigeonscaleError: ``NO_QUORUM``.
        """
        ended = wire.EndIncarnation(agent_id=backend_id, incarnation=incarnation or 0)
        await self._commands.submit(wire.Command(end_incarnation=ended))
        if self._state.members.get(backend_id) is None:
            self._last_heartbeats.pop(backend_id, None)
        logger.info(
            "%s left", backend_id, extra=log_fields(outcome="left", born=incarnation)
        )

    def suspect(self, req: wire.Suspect, *, source_role: str) -> None:
        """Probe a backend that does not answer an entry.

        Args:
            req: Names the backend.
            source_role: Role of the process that suspects it.
        """
        self._health_checker.suspect(req, source_role=source_role)

    def wake(self) -> None:
        """Do nothing: no backend hangs on a stream here."""

    async def run(self) -> None:
        """Judge until cancelled."""
        await self._health_checker.run()

    def _is_committed(self, backend: wire.Backend) -> bool:
        member = self._state.members.get(backend.agent_id)
        if member is None or member.replica != self._node_id:
            return False
        return member.backend == backend
