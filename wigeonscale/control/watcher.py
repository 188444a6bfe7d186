"""State of one watch stream."""

__all__ = ["Watcher"]

import asyncio

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

ENTRY = "entry"


class Watcher:
    """State of one watch stream of an entry, an agent or another replica.

    It holds only positions and the newest message of each kind, so that a slow reader
    costs no memory.

    Args:
        hello: First message of the stream.
        clock: Time source.

    Attributes:
        node_id: Name of the watching process.
        role: ``entry``, ``agent`` or ``control``.
        http_address: ip:port of its HTTP server.
        members_index: Log index of the members it knows; None for none.
        has_sent_members: Whether members were sent on this stream.
        revision: Configuration revision that was last sent.
        document_number: Number of the document that was last sent; 0 for none.
        crashes_index: Log index of the crash records that were last sent; 0 for none.
        applied_revision: Configuration revision that it reports as applied.
        last_message_at: Time of its last message, in seconds.
        incarnation: Incarnation that an agent announced on this stream; 0 before that.
        pending_announcement: Newest announcement if it is not committed yet, or None.
        announced: Newest announcement, or None.
        sent_load: Load order that was sent and is still wanted, or None.
        sent_drain: Drain state that was last sent on this stream; None before that.
        load_sent_at: Time at which ``sent_load`` was first sent, in seconds.
        failed_orders: Failed orders since the last success.
        load_resend_at: Time at which an unchanged load order is sent again.
        ended_incarnation: Incarnation whose end must be reported to it; 0 for none.
        loads: Load that an entry reported with its newest heartbeat; None if it does
            not report any.
        pending_heartbeat: Newest heartbeat that no lease answers yet, with its time
            of arrival, or None.
        wake: Set when there may be events to write.
        announce_wake: Set when there may be an announcement to commit.
    """

    def __init__(self, *, hello: wire.Hello, clock: Clock):
        self.node_id = hello.node_id
        self.role = hello.role
        self.http_address = hello.http_address
        self.members_index: int | None = hello.known_index or None
        self.has_sent_members = False
        self.revision = hello.known_revision
        self.document_number = hello.known_document
        self.crashes_index = hello.known_crashes
        self.applied_revision = hello.known_revision
        self.last_message_at = clock.now()
        self.incarnation = 0
        self.pending_announcement: wire.Backend | None = None
        self.announced: wire.Backend | None = None
        self.sent_load: wire.LoadLayers | None = None
        self.sent_drain: bool | None = None
        self.load_sent_at = 0.0
        self.load_resend_at = 0.0
        self.failed_orders = 0
        self.ended_incarnation = 0
        self.loads: wire.Loads | None = None
        self.pending_heartbeat: tuple[wire.Heartbeat, float] | None = None
        self.wake = asyncio.Event()
        self.announce_wake = asyncio.Event()
        self.wake.set()

    @property
    def is_entry(self) -> bool:
        """Whether the watching process is an entry."""
        return self.role == ENTRY
