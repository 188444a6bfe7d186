"""State received from control: configuration, lease and numbered document."""

__all__ = ["Change", "WatchState"]

import asyncio
import enum
import logging

from reactivex.subject import Subject

from wigeonscale.adapters.metrics import Metrics
from wigeonscale.membership.configuration import ConfigResult, Configuration
from wigeonscale.membership.connection import DisconnectCause
from wigeonscale.membership.lease import Lease
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class Change(enum.StrEnum):
    """Kind of change that ``changes`` emits."""

    DOCUMENT = "document"
    MEMBERS = "members"
    LEASE = "lease"
    NUMBERED_DOCUMENT = "numbered"


class WatchState:
    """Applies updates and lease grants from any connection and emits changes.

    Attributes:
        changes: Subject of :class:`Change`; emits after the change was applied.
        configuration: The applied configuration.
        lease: Freshness lease; the state may be acted on while it is valid.
        entries: Last reported number of entries attached to control; 0 before.
        share_holders: Last reported number of entries that are attached or hold a
            retry share; None before, and if control is of an older version.
        numbered_document: Document with the highest number received so far.

    Args:
        clock: Clock of this process.
        lease_s: Duration of the freshness lease, in seconds.
        metrics: Metrics of lease and revision.
    """

    def __init__(self, *, clock: Clock, lease_s: float, metrics: Metrics):
        self.changes: Subject[Change] = Subject()
        self.configuration = Configuration()
        self.lease = Lease(clock=clock, lease_s=lease_s)
        self.entries = 0
        self.share_holders: int | None = None
        self.numbered_document = wire.NumberedDocument()
        self._metrics = metrics
        self._config_lock = asyncio.Lock()
        self._needs_full_document = False
        self._lease_was_valid = False

    @property
    def known_revision(self) -> int:
        """Base revision for deltas; 0 requests the whole document."""
        return 0 if self._needs_full_document else self.configuration.revision

    async def apply_config(
        self, update: wire.ConfigUpdate, address: str
    ) -> DisconnectCause | None:
        """Apply a configuration update if it is newer and matches.

        Args:
            update: The update.
            address: Address of the replica that sent it, for the log.

        Returns:
            Why the connection must be closed, or None.
        """
        async with self._config_lock:
            result = await self.configuration.apply(update)
        match result:
            case ConfigResult.APPLIED:
                self._needs_full_document = False
                self._publish_revision()
                return None
            case ConfigResult.UNCHANGED:
                return None
            case ConfigResult.OLDER:
                return DisconnectCause.OLDER_REVISION
        logger.error("revision %d from %s: %s", update.revision, address, result.value)
        self._needs_full_document = True
        return DisconnectCause.CONFIG_MISMATCH

    def apply_grant(
        self, grant: wire.LeaseGrant, last_sent_us: int
    ) -> DisconnectCause | None:
        """Apply a lease grant.

        Args:
            grant: The grant.
            last_sent_us: Send time of the latest heartbeat on its connection, in
                microseconds.

        Returns:
            Why the connection must be closed, or None.
        """
        revision = self.configuration.revision
        if grant.revision < revision:
            return DisconnectCause.OLDER_REVISION
        self.entries = grant.entries or self.entries
        if grant.HasField("share_holders"):
            self.share_holders = grant.share_holders
        self.lease.add_grant(
            grant, last_sent_us=last_sent_us, applied_revision=revision
        )
        self.update_lease()
        return None

    def apply_numbered_document(self, document: wire.NumberedDocument) -> None:
        """Store a numbered document if its number is higher.

        Args:
            document: The document, from any replica.
        """
        known_number = self.numbered_document.number
        if document.number <= known_number:
            return
        self.numbered_document = document
        logger.info("numbered document %d replaces %d", document.number, known_number)
        self.emit(Change.NUMBERED_DOCUMENT)

    def update_lease(self) -> None:
        """Emit a change if the lease became valid or expired."""
        is_valid = self.lease.is_valid()
        if is_valid == self._lease_was_valid:
            return
        self._lease_was_valid = is_valid
        self._metrics.lease_valid.set(int(is_valid))
        level = logging.INFO if is_valid else logging.WARNING
        logger.log(level, "lease %s", "is valid" if is_valid else "has expired")
        self.emit(Change.LEASE)

    def emit(self, change: Change) -> None:
        """Emit a change; exceptions of subscribers are logged and not raised.

        Args:
            change: What has changed.
        """
        try:
            self.changes.on_next(change)
        except Exception:
            logger.exception("a subscriber to %s changes failed", change)

    def _publish_revision(self) -> None:
        revision = self.configuration.revision
        self._metrics.revision.set(revision)
        logger.info("revision %d applied", revision)
        self.emit(Change.DOCUMENT)
        self.lease.note_applied(revision)
        self.update_lease()
