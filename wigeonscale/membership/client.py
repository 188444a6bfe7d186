"""A process's link to control: configuration, members, lease and commands."""

__all__ = ["Change", "ControlClient"]

import asyncio
import enum
import logging
import random
from collections.abc import Awaitable, Callable, Sequence

from reactivex.subject import Subject

from wigeonscale import rules
from wigeonscale.adapters.channels import TlsFiles
from wigeonscale.adapters.metrics import METRICS, Metrics
from wigeonscale.membership.announcer import Announcer
from wigeonscale.membership.configuration import ConfigResult, Configuration
from wigeonscale.membership.connection import DisconnectCause, WatchConnection
from wigeonscale.membership.floor import ask_floor
from wigeonscale.membership.lease import Lease
from wigeonscale.membership.members import MembersView
from wigeonscale.membership.orders import OrderRunner
from wigeonscale.membership.submitter import Submitter
from wigeonscale.membership.watcher import Watcher
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

MAX_SUSPICIONS = 1024
# A backend that its replica does not show is announced again after this long.
ANNOUNCE_AGAIN_HEARTBEATS = 4
LEASE_CHECKS_PER_HEARTBEAT = 4

logger = logging.getLogger(__name__)


class Change(enum.StrEnum):
    """What a value of :attr:`ControlClient.changes` says has changed."""

    DOCUMENT = "document"
    MEMBERS = "members"
    LEASE = "lease"


class ControlClient:
    """Watches control and submits commands to it.

    Attributes:
        changes: Subject of :class:`Change`, after the change is in force here.

    Args:
        node_id: Name of this process; an agent's name is its agent id.
        role: ``entry`` or ``agent``.
        addresses: gRPC addresses of all control replicas.
        clock: Clock of this process.
        http_address: ``ip:port`` of this process's health page.
        announce: Returns what an agent announces of its backend; None for an
            entry.
        on_order: Carries out an order; None for an entry.
        on_ended: Called with the incarnation that control declared ended.
        lease_s: Time of the freshness lease, in seconds.
        heartbeat_s: Interval of heartbeats, in seconds.
        rng: Source of jitter; None for one seeded by the system.
        metrics: Where lease, revision and connections are counted.
        tls: Files for mutual TLS; None for plain TCP.

    Example:
        client = ControlClient(node_id="e1", role="entry", addresses=..., clock=...)
        task = asyncio.create_task(client.run())
        await client.ready()
    """

    def __init__(
        self,
        *,
        node_id: str,
        role: str,
        addresses: Sequence[str],
        clock: Clock,
        http_address: str = "",
        announce: Callable[[], wire.Backend] | None = None,
        on_order: Callable[[wire.Order], Awaitable[wire.OrderResult]] | None = None,
        on_ended: Callable[[int], None] | None = None,
        lease_s: float = 3.0,
        heartbeat_s: float = 0.5,
        rng: random.Random | None = None,
        metrics: Metrics = METRICS,
        tls: TlsFiles | None = None,
    ):
        self.changes: Subject[Change] = Subject()
        self._node_id = node_id
        self._role = role
        self._addresses = tuple(addresses)
        self._clock = clock
        self._http_address = http_address
        self._on_ended = on_ended
        self._heartbeat_s = heartbeat_s
        self._rng = rng or random.Random()
        self._metrics = metrics
        self._tls = tls
        self._configuration = Configuration()
        self._needs_whole_document = False
        self._members = MembersView()
        self._lease = Lease(clock=clock, lease_s=lease_s)
        self._lease_was_valid = False
        self._ready = asyncio.Event()
        self._announcer = self._new_announcer(announce)
        self._suspected_at: dict[tuple[str, int], float] = {}
        self._orders = self._new_order_runner(on_order)
        self._submitter = Submitter(
            addresses=self._addresses, clock=clock, rng=self._rng, tls=tls
        )
        self._watcher = Watcher(
            addresses=self._addresses,
            clock=clock,
            rng=self._rng,
            lease=self._lease,
            lease_s=lease_s,
            heartbeat_s=heartbeat_s,
            open_connection=self._open_connection,
            on_attached=self._attached,
            metrics=metrics,
        )

    @property
    def revision(self) -> int:
        """Configuration revision in force here; 0 before any."""
        return self._configuration.revision

    @property
    def document(self) -> "rules.Document":
        """Rules document in force here."""
        return self._configuration.document

    @property
    def ruleset(self) -> "rules.Ruleset":
        """Rules in force here."""
        return self._configuration.ruleset

    @property
    def members(self) -> MembersView:
        """Backends and chains as told by the attached replica.

        Read it anew each time: another replica brings another view.
        """
        return self._members

    def lease_valid(self) -> bool:
        """Return whether what this process knows was confirmed recently enough."""
        return self._lease.is_valid()

    async def ready(self) -> None:
        """Wait for the first lease, and with it configuration and members."""
        await self._ready.wait()

    async def run(self) -> None:
        """Watch control until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._watcher.run())
                tasks.create_task(self._check_lease())
        finally:
            if self._orders is not None:
                await self._orders.close()
            await self._submitter.close()

    async def submit(
        self, command: wire.Command, timeout_s: float = 3.0
    ) -> wire.CommandResult:
        """Submit one command to the leader.

        Args:
            command: The command; an empty operation id is filled in.
            timeout_s: Limit of all attempts together, in seconds.

        Returns:
            The result; for a claim that was not granted, the standing record.

        Raises:
            WigeonscaleError: See :meth:`Submitter.submit`.
        """
        return await self._submitter.submit(command, timeout_s)

    async def floor(self) -> tuple[int, int]:
        """Return the largest (term, index) over a majority; waits for one."""
        return await ask_floor(
            addresses=self._addresses, clock=self._clock, rng=self._rng, tls=self._tls
        )

    def announce_changed(self) -> None:
        """Announce the backend again after a change."""
        if self._announcer is not None:
            self._announcer.announce()

    def suspect(self, agent_id: str, incarnation: int) -> None:
        """Tell control that an agent does not answer.

        Args:
            agent_id: The silent agent.
            incarnation: The incarnation that was asked.
        """
        key = (agent_id, incarnation)
        now = self._clock.now()
        # Many requests may miss one agent at once; one word a heartbeat is enough.
        if now - self._suspected_at.get(key, float("-inf")) < self._heartbeat_s:
            return
        if len(self._suspected_at) >= MAX_SUSPICIONS:
            self._suspected_at.clear()
        self._suspected_at[key] = now
        suspicion = wire.Suspect(agent_id=agent_id, incarnation=incarnation)
        self._send(wire.WatchRequest(suspect=suspicion))

    def _new_announcer(
        self, announce: Callable[[], wire.Backend] | None
    ) -> Announcer | None:
        if announce is None:
            return None
        return Announcer(
            announce=announce,
            send=self._send,
            clock=self._clock,
            again_s=ANNOUNCE_AGAIN_HEARTBEATS * self._heartbeat_s,
        )

    def _new_order_runner(
        self, on_order: Callable[[wire.Order], Awaitable[wire.OrderResult]] | None
    ) -> OrderRunner | None:
        if on_order is None:
            return None
        return OrderRunner(on_order=on_order, send=self._send)

    def _send(self, req: wire.WatchRequest) -> None:
        if self._watcher.attached is not None:
            self._watcher.attached.send(req)

    def _open_connection(self, address: str) -> WatchConnection:
        hello = wire.Hello(
            node_id=self._node_id,
            role=self._role,
            known_revision=0 if self._needs_whole_document else self.revision,
            http_address=self._http_address,
        )
        return WatchConnection(
            address=address,
            clock=self._clock,
            heartbeat_s=self._heartbeat_s,
            hello=hello,
            on_event=self._handle,
            applied_revision=lambda: self.revision,
            tls=self._tls,
        )

    def _attached(self, conn: WatchConnection) -> None:
        self._members = conn.members
        self.announce_changed()
        self._ready.set()
        self._emit(Change.MEMBERS)

    def _handle(
        self, conn: WatchConnection, event: wire.WatchEvent
    ) -> DisconnectCause | None:
        match event.WhichOneof("body"):
            case "config":
                return self._handle_config(conn, event.config)
            case "members":
                return self._handle_members(conn, event.members)
            case "lease":
                return self._handle_lease(conn, event.lease)
            case "order" if self._orders is not None:
                self._orders.start(event.order)
            case "ended" if self._on_ended is not None:
                self._on_ended(event.ended.incarnation)
            case other:
                logger.warning("event %s from %s ignored", other, conn.address)
        return None

    def _handle_config(
        self, conn: WatchConnection, update: wire.ConfigUpdate
    ) -> DisconnectCause | None:
        result = self._configuration.apply(update)
        match result:
            case ConfigResult.APPLIED:
                self._needs_whole_document = False
                self._applied(conn)
            case ConfigResult.UNCHANGED:
                pass
            case ConfigResult.OLDER:
                return DisconnectCause.OLDER_REVISION
            case _:
                logger.error(
                    "revision %d from %s: %s",
                    update.revision,
                    conn.address,
                    result.value,
                )
                self._needs_whole_document = True
                return DisconnectCause.CONFIG_MISMATCH
        return None

    def _applied(self, conn: WatchConnection) -> None:
        self._metrics.revision.set(self.revision)
        logger.info("revision %d in force", self.revision)
        self._emit(Change.DOCUMENT)
        if self._lease.applied(self.revision):
            self._confirmed(conn)

    def _handle_members(
        self, conn: WatchConnection, update: wire.MembersUpdate
    ) -> DisconnectCause | None:
        if conn.members is None:
            if not update.full:
                return DisconnectCause.MEMBERS_OUT_OF_ORDER
            conn.members = MembersView()
        conn.members.apply(update)
        if conn is self._watcher.attached:
            self._emit(Change.MEMBERS)
        return None

    def _handle_lease(
        self, conn: WatchConnection, grant: wire.LeaseGrant
    ) -> DisconnectCause | None:
        if grant.revision < self.revision:
            return DisconnectCause.OLDER_REVISION
        conn.answered(grant.echo_us)
        lengthened = self._lease.offer(
            grant, last_sent_us=conn.last_sent_us, applied_revision=self.revision
        )
        if lengthened:
            self._confirmed(conn)
        if conn is self._watcher.attached and self._announcer is not None:
            self._announcer.announce_if_missing(self._members)
        return None

    def _confirmed(self, conn: WatchConnection) -> None:
        self._watcher.confirmed_by(conn)
        self._note_lease()

    async def _check_lease(self) -> None:
        while True:
            self._note_lease()
            await self._clock.sleep(self._heartbeat_s / LEASE_CHECKS_PER_HEARTBEAT)

    def _note_lease(self) -> None:
        is_valid = self._lease.is_valid()
        if is_valid == self._lease_was_valid:
            return
        self._lease_was_valid = is_valid
        self._metrics.lease_valid.set(int(is_valid))
        logger.log(
            logging.INFO if is_valid else logging.WARNING,
            "lease %s",
            "holds" if is_valid else "is out",
        )
        self._emit(Change.LEASE)

    def _emit(self, change: Change) -> None:
        try:
            self.changes.on_next(change)
        except Exception:
            logger.exception("a subscriber to %s changes failed", change)
