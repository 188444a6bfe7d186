"""Maintains a watch connection and fails over to another replica if needed."""

__all__ = ["Watcher"]

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import Metrics
from wigeonscale.membership.backoff import CAP_S, Backoff
from wigeonscale.membership.connection import DisconnectCause, WatchConnection
from wigeonscale.membership.lease import Lease
from wigeonscale.ports import Clock

# Time without an answered heartbeat, in heartbeat intervals, after which the attached
# connection counts as silent. The sum of this, of CANDIDATE_TIMEOUT_HEARTBEATS and of
# the check intervals between them must stay below the duration of a lease, which is at
# least MIN_HEARTBEATS_PER_LEASE of the settings.
SILENCE_TIMEOUT_HEARTBEATS = 2.5
# The same time for a candidate; shorter, because the lease is about to expire.
CANDIDATE_TIMEOUT_HEARTBEATS = 2
# Fraction of the lease without confirmation after which another replica is tried even
# though the attached one answers. A leader election takes less time than this.
UNCONFIRMED_LEASE_FRACTION = 2 / 3
UNCONFIRMED_JITTER_FRACTION = 1 / 6
CHECKS_PER_HEARTBEAT = 4

logger = logging.getLogger(__name__)


class Watcher:
    """Opens watch connections and selects the attached one.

    At most two connections are open: the attached one, and a candidate. A candidate is
    opened if there is no attached connection, or if that one is silent or does not
    extend the lease. The candidate becomes the attached connection with the first grant
    that extends the lease.

    Attributes:
        attached: The connection in use; None if there is none.

    Args:
        addresses: Addresses of the control replicas.
        clock: Clock of this process.
        rng: Random source for jitter and for the order in which replicas are tried.
        lease: Lease that grants extend.
        lease_s: Duration of the lease, in seconds.
        heartbeat_s: Interval of heartbeats, in seconds.
        open_connection: Returns a new connection to an address.
        on_attached: Called with each connection that becomes the attached one.
        metrics: Metrics of reconnects.
        reconnect_cap_s: Longest wait between two attempts, in seconds.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        clock: Clock,
        rng: random.Random,
        lease: Lease,
        lease_s: float,
        heartbeat_s: float,
        open_connection: Callable[[str], WatchConnection],
        on_attached: Callable[[WatchConnection], None],
        metrics: Metrics,
        reconnect_cap_s: float = CAP_S,
    ):
        self.attached: WatchConnection | None = None
        self._addresses = rng.sample(list(addresses), len(addresses))
        self._clock = clock
        self._lease = lease
        self._lease_s = lease_s
        self._heartbeat_s = heartbeat_s
        self._open_connection = open_connection
        self._on_attached = on_attached
        self._metrics = metrics
        self._backoff = Backoff(rng=rng, cap_s=reconnect_cap_s)
        self._max_unconfirmed_s = lease_s * (
            UNCONFIRMED_LEASE_FRACTION + rng.uniform(0, UNCONFIRMED_JITTER_FRACTION)
        )
        self._candidate: WatchConnection | None = None
        self._next_address = 0
        self._next_attempt_at = clock.now()
        self._tasks: dict[WatchConnection, asyncio.Task] = {}
        self._wake = asyncio.Event()

    def set_addresses(self, addresses: Sequence[str]) -> None:
        """Replace the replicas to try by the members that a replica reported.

        Args:
            addresses: Addresses of all replicas; known ones keep their order.
        """
        if set(addresses) == set(self._addresses):
            return
        kept = [address for address in self._addresses if address in addresses]
        added = [address for address in addresses if address not in kept]
        logger.info("control replicas are now %s", ", ".join([*kept, *added]))
        self._addresses = [*kept, *added]

    def add_addresses(self, addresses: Sequence[str]) -> None:
        """Add replicas to try until a grant names the members.

        Args:
            addresses: Addresses of further replicas.
        """
        self._addresses = list(dict.fromkeys([*self._addresses, *addresses]))

    async def run(self) -> None:
        """Maintain connections until the task is cancelled."""
        ticker = asyncio.create_task(self._tick())
        try:
            while True:
                self._check()
                await self._wake.wait()
                self._wake.clear()
        finally:
            tasks = [ticker, *self._tasks.values()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def note_confirmation(self, conn: WatchConnection) -> None:
        """Record that a grant on a connection extended the lease.

        Args:
            conn: The connection; a candidate that has received its members becomes the
                attached connection.
        """
        if conn is self.attached:
            self._next_attempt_at = min(self._next_attempt_at, self._clock.now())
            # Reset only after a full lease, so that a replica that fails repeatedly
            # is not retried without backoff.
            if self._clock.now() > conn.opened_at + self._lease_s:
                self._backoff.reset()
        if conn is self._candidate and conn.members is not None:
            self._attach(conn)
            self._wake.set()

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep(self._heartbeat_s / CHECKS_PER_HEARTBEAT)
            self._wake.set()

    def _check(self) -> None:
        self._remove_ended()
        if self._candidate is not None:
            self._check_candidate(self._candidate)
        elif self._needs_candidate() and self._clock.now() >= self._next_attempt_at:
            self._open_candidate()

    def _remove_ended(self) -> None:
        for conn in [conn for conn, task in self._tasks.items() if task.done()]:
            task = self._tasks.pop(conn)
            if not task.cancelled() and task.exception() is not None:
                logger.error("watch connection failed", exc_info=task.exception())
            if conn in (self.attached, self._candidate):
                self._disconnect(conn, conn.cause or DisconnectCause.LOST)

    def _check_candidate(self, conn: WatchConnection) -> None:
        if not self._needs_candidate():
            self._disconnect(conn, DisconnectCause.SUPERSEDED)
            return
        now = self._clock.now()
        if now - conn.answered_at > CANDIDATE_TIMEOUT_HEARTBEATS * self._heartbeat_s:
            self._disconnect(conn, DisconnectCause.SILENT)
        elif now - conn.opened_at > self._max_unconfirmed_s:
            self._disconnect(conn, DisconnectCause.NO_LEASE)

    def _needs_candidate(self) -> bool:
        return self.attached is None or self._is_silent() or self._is_unconfirmed()

    def _is_silent(self) -> bool:
        silence_s = self._clock.now() - self.attached.answered_at
        return silence_s > SILENCE_TIMEOUT_HEARTBEATS * self._heartbeat_s

    def _is_unconfirmed(self) -> bool:
        return self._clock.now() - self._lease.confirmed_at > self._max_unconfirmed_s

    def _open_candidate(self) -> None:
        conn = self._open_connection(self._pick_address())
        self._candidate = conn
        task = asyncio.create_task(conn.run())
        task.add_done_callback(lambda _: self._wake.set())
        self._tasks[conn] = task

    def _pick_address(self) -> str:
        address = self._addresses[self._next_address % len(self._addresses)]
        self._next_address += 1
        in_use = self.attached is not None and address == self.attached.address
        if in_use and len(self._addresses) > 1:
            return self._pick_address()
        return address

    def _attach(self, conn: WatchConnection) -> None:
        old, self.attached = self.attached, conn
        self._candidate = None
        self._on_attached(conn)
        if old is not None:
            self._close(old, DisconnectCause.SUPERSEDED)

    def _disconnect(self, conn: WatchConnection, cause: DisconnectCause) -> None:
        self._close(conn, cause)
        if conn is self.attached:
            self.attached = None
        else:
            self._candidate = None
        wait_s = self._backoff.next_wait()
        if self.attached is not None and not self._is_silent():
            # The attached replica recovers by itself after a leader change. Until then,
            # connections of all its watchers would only add load to the others.
            wait_s += self._lease_s
        self._next_attempt_at = self._clock.now() + wait_s

    def _close(self, conn: WatchConnection, cause: DisconnectCause) -> None:
        conn.cause = conn.cause or cause
        task = self._tasks.get(conn)
        if task is not None:
            task.cancel()
        self._metrics.reconnects.add(cause=conn.cause)
        logger.info(
            "watch connection to %s closed",
            conn.address,
            extra=log_fields(kind=conn.cause),
        )
