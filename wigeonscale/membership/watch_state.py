"""The configuration in force, and how freshly it was confirmed."""

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
    """What a value of ``changes`` says has changed."""

    DOCUMENT = "document"
    MEMBERS = "members"
    LEASE = "lease"
    NUMBERED_DOCUMENT = "numbered"


class WatchState:
    """Takes in updates and grants from any connection, and tells the changes.

    Attributes:
        changes: Subject of :class:`Change`, after the change is in force here.
        configuration: The configuration in force.
        lease: How long it may be acted on.
        entries: Entries attached to control as last told; 0 before.
        numbered_document: Document with the highest number received so far.

    Args:
        clock: Clock of this process.
        lease_s: Time of the freshness lease, in seconds.
        metrics: Where lease and revision are shown.
    """

    def __init__(self, *, clock: Clock, lease_s: float, metrics: Metrics):
        self.changes: Subject[Change] = Subject()
        self.configuration = Configuration()
        self.lease = Lease(clock=clock, lease_s=lease_s)
        self.entries = 0
        self.numbered_document = wire.NumberedDocument()
        self._metrics = metrics
        self._config_lock = asyncio.Lock()
        self._needs_full_document = False
        self._lease_was_valid = False

    @property
    def known_revision(self) -> int:
        """Revision to ask deltas from; 0 asks for the whole document."""
        return 0 if self._needs_full_document else self.configuration.revision

    async def apply_config(
        self, update: wire.ConfigUpdate, address: str
    ) -> DisconnectCause | None:
        """Put an update in force if it is newer and fits.

        Args:
            update: The update.
            address: Replica that sent it, for the log.

        Returns:
            Why its connection must end, or None.
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
        """Take a lease grant into account.

        Args:
            grant: The grant.
            last_sent_us: Latest heartbeat sent on its connection, microseconds.

        Returns:
            Why its connection must end, or None.
        """
        revision = self.configuration.revision
        if grant.revision < revision:
            return DisconnectCause.OLDER_REVISION
        self.entries = grant.entries or self.entries
        self.lease.add_grant(
            grant, last_sent_us=last_sent_us, applied_revision=revision
        )
        self.update_lease()
        return None

    def apply_numbered_document(self, document: wire.NumberedDocument) -> None:
        """Put a numbered document in force if its number is higher.

        Args:
            document: The document, from any replica.
        """
        known_number = self.numbered_document.number
        if document.number <= known_number:
            return
        self.numbered_document = document
        logger.info("document %d replaces %d", document.number, known_number)
        self.emit(Change.NUMBERED_DOCUMENT)

    def update_lease(self) -> None:
        """Tell the subscribers when the lease began or ran out."""
        is_valid = self.lease.is_valid()
        if is_valid == self._lease_was_valid:
            return
        self._lease_was_valid = is_valid
        self._metrics.lease_valid.set(int(is_valid))
        level = logging.INFO if is_valid else logging.WARNING
        logger.log(level, "lease %s", "holds" if is_valid else "is out")
        self.emit(Change.LEASE)

    def emit(self, change: Change) -> None:
        """Tell the subscribers of a change; their failures stay theirs.

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
        logger.info("revision %d in force", revision)
        self.emit(Change.DOCUMENT)
        self.lease.note_applied(revision)
        self.update_lease()
