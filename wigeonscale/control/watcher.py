"""One watch stream: what its watcher knows and is due."""

__all__ = ["Watcher"]

import asyncio

from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

ENTRY = "entry"


class Watcher:
    """State of one watch stream of an entry, an agent or another replica.

    It holds positions and the newest of each kind of message only, so that a
    watcher that reads slowly costs no memory.

    Args:
        hello: First message of the stream.
        clock: Clock port.

    Attributes:
        node_id: Name of the watching process.
        role: ``entry``, ``agent`` or ``control``.
        http_address: ip:port of its pages.
        position: Index of the members it knows; None for none.
        has_sent_members: Whether it was told members on this stream.
        revision: Configuration revision it was told.
        document_number: Number of the numbered document it was told; 0 for none.
        crashes_index: Log index of the crash records it was told; 0 for none.
        applied_revision: Revision it said it has in force.
        heard_at: Instant of its last message, in seconds of the clock port.
        incarnation: Incarnation that an agent announced here; 0 before.
        announcement: Newest announcement that is not committed yet, or None.
        announced: Newest announcement, or None.
        sent_load: Load order it was sent and that is still due, or None.
        sent_drain: Operator's drain as it was last told here; None before.
        load_sent_at: Instant at which ``sent_load`` was first sent.
        failed_orders: Failures since the last order that was done.
        load_resend_at: Instant at which an unchanged order is pushed again.
        ended_incarnation: Incarnation it must be told has ended; 0 for none.
        loads: What an entry has in progress by its newest heartbeat; None if it does
            not tell.
        unanswered: Newest heartbeat without a lease, with its arrival, or None.
        wake: Set when there may be something to write.
        announce_wake: Set when there may be something to commit.
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
