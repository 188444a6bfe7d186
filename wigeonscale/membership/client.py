"""Client of the control plane: configuration, members, lease and commands."""

__all__ = ["ControlClient"]

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TYPE_CHECKING

from reactivex.subject import Subject

from wigeonscale.adapters.channels import TlsFiles
from wigeonscale.adapters.metrics import METRICS, Metrics
from wigeonscale.membership.announcer import Announcer
from wigeonscale.membership.backoff import CAP_S
from wigeonscale.membership.connection import DisconnectCause, WatchConnection
from wigeonscale.membership.floor import query_fencing_floor
from wigeonscale.membership.members import MembersView
from wigeonscale.membership.orders import OrderRunner
from wigeonscale.membership.submitter import Submitter
from wigeonscale.membership.suspicion_throttle import SuspicionThrottle
from wigeonscale.membership.watch_state import Change, WatchState
from wigeonscale.membership.watcher import Watcher
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

if TYPE_CHECKING:
    from wigeonscale import rules

# A backend that the attached replica does not list is announced again after this time.
REANNOUNCE_HEARTBEATS = 4
LEASE_CHECKS_PER_HEARTBEAT = 4

logger = logging.getLogger(__name__)


class ControlClient:
    """Watches the state of control and submits commands.

    Attributes:
        changes: Subject of :class:`Change`; emits after this process applied the
            change.

    Args:
        node_id: Name of this process; an agent's name is its agent id.
        role: ``entry`` or ``agent``.
        addresses: gRPC addresses of all control replicas.
        clock: Clock of this process.
        http_address: ``ip:port`` of this process's health page.
        announce: Returns the backend that an agent announces; None for an entry.
        on_order: Executes an order; None for an entry.
        on_ended: Called with an incarnation that control declared ended.
        loads: Returns the load of this entry; None if it does not report its load.
        on_loads: Called with the load of all entries.
        on_crashes: Called with the crash records that changed.
        lease_s: Duration of the freshness lease, in seconds.
        heartbeat_s: Interval of heartbeats, in seconds.
        rng: Random source for jitter; None for one seeded by the system.
        metrics: Metrics of lease, revision and reconnects.
        tls: Files for mutual TLS; None for plain TCP.
        reconnect_cap_s: Longest wait between two connection attempts, in seconds.

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
        loads: Callable[[], wire.Loads] | None = None,
        on_loads: Callable[[wire.Loads], None] | None = None,
        on_crashes: Callable[[wire.CrashUpdate], None] | None = None,
        lease_s: float = 3.0,
        heartbeat_s: float = 0.5,
        rng: random.Random | None = None,
        metrics: Metrics = METRICS,
        tls: TlsFiles | None = None,
        reconnect_cap_s: float = CAP_S,
    ):
        self._state = WatchState(clock=clock, lease_s=lease_s, metrics=metrics)
        self.changes: Subject[Change] = self._state.changes
        self._node_id = node_id
        self._role = role
        self._addresses = tuple(addresses)
        self._clock = clock
        self._http_address = http_address
        self._on_ended = on_ended
        self._loads = loads
        self._on_loads = on_loads
        self._on_crashes = on_crashes
        self._crashes_index = 0
        self._heartbeat_s = heartbeat_s
        self._rng = rng or random.Random()
        self._tls = tls
        self._members = MembersView()
        self._ready = asyncio.Event()
        self._announcer = self._new_announcer(announce)
        self._suspicion_throttle = SuspicionThrottle(
            clock=clock, min_interval_s=heartbeat_s
        )
        self._orders = self._new_order_runner(on_order)
        self._submitter = Submitter(
            addresses=self._addresses, clock=clock, rng=self._rng, tls=tls
        )
        self._watcher = Watcher(
            addresses=self._addresses,
            clock=clock,
            rng=self._rng,
            lease=self._state.lease,
            lease_s=lease_s,
            heartbeat_s=heartbeat_s,
            open_connection=self._open_connection,
            on_attached=self._on_attached,
            metrics=metrics,
            reconnect_cap_s=reconnect_cap_s,
        )

    @property
    def revision(self) -> int:
        """Configuration revision applied in this process; 0 before the first."""
        return self._state.configuration.revision

    @property
    def document(self) -> "rules.Document":
        """Rules document applied in this process."""
        return self._state.configuration.document

    @property
    def ruleset(self) -> "rules.Ruleset":
        """Rules of the applied document."""
        return self._state.configuration.ruleset

    @property
    def members(self) -> MembersView:
        """Backends and chains reported by the attached replica.

        Do not keep a reference: attaching to another replica replaces the view.
        """
        return self._members

    @property
    def numbered_document(self) -> wire.NumberedDocument:
        """Numbered document with the highest number received; number 0 before any."""
        return self._state.numbered_document

    @property
    def entries(self) -> int:
        """Number of entries attached to control, at least 1; 1 until reported."""
        return max(1, self._state.entries)

    @property
    def share_holders(self) -> int | None:
        """Number of entries that are attached or hold a retry share, if reported."""
        return self._state.share_holders

    @property
    def confirmed_at(self) -> float | None:
        """Latest local time at which the state was confirmed current, or None."""
        return self._state.lease.confirmed_at

    def add_addresses(self, addresses: Sequence[str]) -> None:
        """Add replicas to those that are tried.

        Args:
            addresses: gRPC addresses of control replicas.
        """
        self._watcher.add_addresses(addresses)

    def lease_valid(self) -> bool:
        """Return whether the state was confirmed within the duration of the lease."""
        return self._state.lease.is_valid()

    async def ready(self) -> None:
        """Wait for the first lease; configuration and members are then known."""
        await self._ready.wait()

    async def run(self) -> None:
        """Watch control until the task is cancelled."""
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
            timeout_s: Timeout of all attempts together, in seconds.

        Returns:
            The result; for a claim that was not granted, the existing record.

        Raises:
            WigeonscaleError: See :meth:`Submitter.submit`.
        """
        return await self._submitter.submit(command, timeout_s)

    async def floor(self) -> tuple[int, int]:
        """Wait for a majority of replicas and return their largest (term, index)."""
        return await query_fencing_floor(
            addresses=self._addresses, clock=self._clock, rng=self._rng, tls=self._tls
        )

    def announce_changed(self) -> None:
        """Announce the backend again after a change."""
        if self._announcer is not None:
            self._announcer.announce()

    def suspect(
        self,
        agent_id: str,
        incarnation: int,
        *,
        is_hint: bool = False,
        witness_domain: str = "",
    ) -> None:
        """Report to control that an agent does not answer.

        Args:
            agent_id: The silent agent.
            incarnation: The incarnation that was called.
            is_hint: Whether other processes are equally likely to be at fault.
            witness_domain: Failure domain of this process if its own probes of the
                agent got no answer, else empty.
        """
        message = self._suspicion_throttle.message(
            agent_id,
            incarnation,
            is_hint=is_hint,
            witness=self._node_id if witness_domain else "",
            witness_domain=witness_domain,
        )
        if message is not None:
            self._send(message)

    def _new_announcer(
        self, announce: Callable[[], wire.Backend] | None
    ) -> Announcer | None:
        if announce is None:
            return None
        return Announcer(
            announce=announce,
            send=self._send,
            clock=self._clock,
            min_interval_s=REANNOUNCE_HEARTBEATS * self._heartbeat_s,
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
            known_revision=self._state.known_revision,
            http_address=self._http_address,
            known_index=self._members.index,
            known_document=self._state.numbered_document.number,
            known_crashes=self._crashes_index,
        )
        return WatchConnection(
            address=address,
            clock=self._clock,
            heartbeat_s=self._heartbeat_s,
            hello=hello,
            on_event=self._handle_event,
            on_config=self._apply_config,
            applied_revision=lambda: self.revision,
            loads=self._loads,
            known_members=self._members.copy() if self._members.index else None,
            tls=self._tls,
        )

    def _on_attached(self, conn: WatchConnection) -> None:
        self._members = conn.members
        self.announce_changed()
        self._ready.set()
        self._state.emit(Change.MEMBERS)

    async def _apply_config(
        self, conn: WatchConnection, update: wire.ConfigUpdate
    ) -> DisconnectCause | None:
        lease = self._state.lease
        confirmed_before = lease.confirmed_at
        cause = await self._state.apply_config(update, conn.address)
        self._report_confirmation(conn, confirmed_before)
        return cause

    def _handle_event(
        self, conn: WatchConnection, event: wire.WatchEvent
    ) -> DisconnectCause | None:
        confirmed_before = self._state.lease.confirmed_at
        cause = self._dispatch_event(conn, event)
        self._report_confirmation(conn, confirmed_before)
        return cause

    def _report_confirmation(
        self, conn: WatchConnection, confirmed_before: float | None
    ) -> None:
        lease = self._state.lease
        if lease.confirmed_at != confirmed_before and lease.is_valid():
            self._watcher.note_confirmation(conn)

    def _dispatch_event(
        self, conn: WatchConnection, event: wire.WatchEvent
    ) -> DisconnectCause | None:
        match event.WhichOneof("body"):
            case "members":
                return self._apply_members(conn, event.members)
            case "lease":
                return self._apply_grant(conn, event.lease)
            case "document":
                self._state.apply_numbered_document(event.document)
            case "crashes":
                self._apply_crashes(event.crashes)
            case "order" if self._orders is not None:
                self._orders.start(event.order)
            case "ended" if self._on_ended is not None:
                self._on_ended(event.ended.incarnation)
            case other:
                logger.warning("event %s from %s ignored", other, conn.address)
        return None

    def _apply_members(
        self, conn: WatchConnection, update: wire.MembersUpdate
    ) -> DisconnectCause | None:
        if conn.members is None:
            conn.members = MembersView() if update.full else conn.known_members
            conn.known_members = None
        if conn.members is None:
            return DisconnectCause.MEMBERS_OUT_OF_ORDER
        conn.members.apply(update)
        if conn is self._watcher.attached:
            self._state.emit(Change.MEMBERS)
        return None

    def _apply_crashes(self, update: wire.CrashUpdate) -> None:
        # Two connections may be open, and one replica may lag behind the other.
        if update.index <= self._crashes_index:
            return
        self._crashes_index = update.index
        if self._on_crashes is not None:
            self._on_crashes(update)

    def _apply_grant(
        self, conn: WatchConnection, grant: wire.LeaseGrant
    ) -> DisconnectCause | None:
        conn.note_answer(grant.echo_us)
        if grant.HasField("loads") and self._on_loads is not None:
            self._on_loads(grant.loads)
        if grant.control:
            self._watcher.set_addresses(grant.control)
            self._submitter.set_addresses(grant.control)
        if conn is self._watcher.attached and self._announcer is not None:
            self._announcer.announce_if_missing(self._members)
        return self._state.apply_grant(grant, conn.last_sent_us)

    async def _check_lease(self) -> None:
        while True:
            self._state.update_lease()
            await self._clock.sleep(self._heartbeat_s / LEASE_CHECKS_PER_HEARTBEAT)
