"""State that the tasks of one replica share."""

__all__ = ["PeerState", "ReplicaState"]

import asyncio
import logging
import math
import random
from collections.abc import Callable, Sequence

from reactivex import Subject

from wigeonscale.ports import Clock
from wigeonscale.replication.echo import EchoClock
from wigeonscale.replication.files import Admission, Snapshot
from wigeonscale.replication.member_log import MemberLog
from wigeonscale.replication.model import (
    Member,
    ReplicaOptions,
    Role,
    SharedState,
    StateMachine,
)
from wigeonscale.replication.proposals import Proposals
from wigeonscale.replication.storage import LogStorage
from wigeonscale.replication.transport import PeerClient, Transport
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class PeerState:
    """State that this replica keeps for one peer, mostly while it is the leader.

    Args:
        member: The peer.
        client: Client for its replication service.

    Attributes:
        next_index: Index of the next entry to send.
        match_index: Index of the last entry known to be durable at the peer in this
            term.
        acked_at: Local time at which the newest append that it acknowledged was
            sent.
        last_contact_at: Local time of its last message.
        admitted: Whether its acknowledgements count towards a majority.
        storage_id: Storage id in its last reply.
        echo_us: Timestamp in its last reply, by its own clock; sent back to it.
        sent_commit_index: Commit index in the last append sent to it.
        outgoing_snapshot: Snapshot being sent, or None.
        snapshot_bytes_sent: Number of bytes of that snapshot sent so far.
        wake: Set when there may be something to send.
    """

    def __init__(self, *, member: Member, client: PeerClient):
        self.member = member
        self.client = client
        self.last_contact_at = -math.inf
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.reset_progress(last_index=0)

    def reset_progress(self, *, last_index: int) -> None:
        """Reset the replication progress when this replica becomes the leader."""
        self.next_index = last_index + 1
        self.match_index = 0
        self.acked_at = -math.inf
        self.admitted = False
        self.storage_id = ""
        self.echo_us = 0
        self.sent_commit_index = 0
        self.outgoing_snapshot: Snapshot | None = None
        self.snapshot_bytes_sent = 0


class ReplicaState:
    """State of one replica, modified by its tasks on one event loop.

    Code that depends on the term or the vote across an ``await`` holds ``lock``.

    Args:
        node_id: Identifier of this replica.
        address: ip:port of its gRPC server.
        initial_members: Members of the cluster until the first change in the log.
        storage: Durable storage.
        machine: State machine.
        transport: Transport port.
        clock: Clock port.
        options: Timeouts and batch sizes.
        rng: Source of randomness.
        allow_bootstrap: Whether an empty folder may bootstrap a new cluster.
        is_first_start: Whether the cluster starts for the first time.
        shared: Soft state to piggyback on replication messages, or None.
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: str,
        initial_members: Sequence[Member],
        storage: LogStorage,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        options: ReplicaOptions,
        rng: random.Random,
        allow_bootstrap: bool = True,
        is_first_start: bool = False,
        shared: SharedState | None = None,
    ):
        self.node_id = node_id
        self.address = address
        self.storage = storage
        self.machine = machine
        self.transport = transport
        self.clock = clock
        self.options = options
        self.rng = rng
        self.allow_bootstrap = allow_bootstrap
        self.is_first_start = is_first_start
        self.shared = shared
        self.echo = EchoClock(clock=clock, rng=rng)
        self.lock = asyncio.Lock()
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.leader_address = ""
        self.leader_contact_at = -math.inf
        self.election_timer_start = clock.now()
        # The newest local time at which a majority followed this leader.
        self.majority_acked_at = -math.inf
        self.term_start_index = 0
        self.commit_index = 0
        self.applied_index = 0
        self.applied_term = 0
        self.preparing_index = 0  # entry being prepared in a thread; 0: none
        self.prepared_index = 0
        self.fresh_at: float | None = None
        self.peers: dict[str, PeerState] = {}
        self.proposals = Proposals(retry_after_s=options.election_timeout_s)
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None
        # These tasks are not cancelled together with their callers.
        self.shielded_tasks: set[asyncio.Task] = set()
        self.stopping = False  # planned stop: does not lead again
        # Set when a match index, the applied index or the role changes.
        self.progress = asyncio.Event()
        self.sync_requested = asyncio.Event()
        self.snapshot_due = asyncio.Event()
        self.on_applied: Subject = Subject()
        self.start_peer: Callable[[PeerState], asyncio.Task] | None = None
        self.member_log = MemberLog(initial_members=initial_members)

    # ------------------------------------------------------------- derived values

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.storage.vote.term

    @property
    def leading(self) -> bool:
        """Whether this replica is the leader."""
        return self.role is Role.LEADER

    @property
    def may_vote(self) -> bool:
        """Whether this replica may vote."""
        return self.storage.vote.admission is Admission.ADMITTED

    @property
    def may_campaign(self) -> bool:
        """Whether this replica may stand for election."""
        return self.may_vote and not self.stopping

    @property
    def has_recent_leader_contact(self) -> bool:
        """Whether a leader was in contact within the minimum election timeout."""
        at = self.majority_acked_at if self.leading else self.leader_contact_at
        return self.clock.now() - at < self.options.election_timeout_s

    @property
    def append_timeout_s(self) -> float:
        """Timeout of a call to a peer, in seconds; then the connection is reopened."""
        return max(2 * self.options.heartbeat_s, self.options.election_timeout_s / 2)

    def advance_fresh_at(self, at: float) -> None:
        """Record that the applied state was up to date at a local time."""
        if at > (self.fresh_at if self.fresh_at is not None else -math.inf):
            self.fresh_at = at

    def wake_peers(self) -> None:
        """Make the task of every peer check for something to send."""
        for peer in self.peers.values():
            peer.wake.set()

    # ------------------------------------------------------------- members

    @property
    def members(self) -> tuple[Member, ...]:
        """Members according to the latest change in the log, committed or not."""
        return self.member_log.latest

    def load_members(self) -> None:
        """Read the members from snapshot and log, by default the initial ones."""
        self.member_log.load(self.storage)
        self.update_peers()

    def add_member_changes(self, entries: Sequence[wire.LogEntry]) -> None:
        """Apply the member changes among entries that were just appended."""
        self.member_log.add(entries)
        self.update_peers()

    def drop_member_changes_from(self, index: int) -> None:
        """Revert the member changes from ``index`` on, where the log was truncated."""
        self.member_log.drop_from(index)
        self.update_peers()

    def update_peers(self) -> None:
        """Start and stop peer tasks to match the current members."""
        wanted = {m.node_id: m for m in self.members if m.node_id != self.node_id}
        for node_id, peer in list(self.peers.items()):
            member = wanted.get(node_id)
            if member is None or member.address != peer.member.address:
                del self.peers[node_id]
                if peer.task is not None:
                    peer.task.cancel()
        for node_id, member in wanted.items():
            if node_id not in self.peers:
                client = self.transport.connect(member.address)
                self.peers[node_id] = PeerState(member=member, client=client)
                self.peers[node_id].reset_progress(last_index=self.storage.last_index)
            peer = self.peers[node_id]
            peer.member = member
            if peer.task is None and self.start_peer is not None:
                peer.task = self.start_peer(peer)
