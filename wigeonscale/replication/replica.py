"""One replica of the replicated log; the entry point for other packages."""

__all__ = ["Replica"]

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Sequence

from google.protobuf.message import Message

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.replication.admission import (
    append_members,
    can_change_members,
    changed_members,
    run_bootstrap,
)
from wigeonscale.replication.commit import (
    append_as_leader,
    check_can_propose,
    run_sync,
    update_lease,
)
from wigeonscale.replication.election import handle_vote, run_elections, step_down
from wigeonscale.replication.folder import Folder
from wigeonscale.replication.follower import handle_append
from wigeonscale.replication.model import (
    EntryKind,
    Member,
    ReplicaOptions,
    Role,
    SharedState,
    StateMachine,
)
from wigeonscale.replication.preparation import restore_machine
from wigeonscale.replication.replicate import run_peer
from wigeonscale.replication.snapshots import run_snapshots
from wigeonscale.replication.state import ReplicaState
from wigeonscale.replication.storage import LogStorage
from wigeonscale.replication.transfer import handle_campaign, transfer_leadership
from wigeonscale.replication.transport import Transport
from wigeonscale.replication.waiting import run_shielded
from wigeonscale.wire import wire_pb2 as wire

STORAGE_ID_BITS = 128
# Share of the first election timeout that a replica skips after its start. When all
# replicas start together there is no leader and callers wait for an election. When the
# others already run, the shorter timeout does no harm: the leader's message arrives in
# time, or the pre-vote fails because the others are in contact with the leader.
STARTUP_REDUCTION_SHARE = 0.75

Handler = Callable[[ReplicaState, Message], Awaitable[Message]]


class Replica:
    """One replica of the replicated log.

    Args:
        node_id: Stable identifier of this replica.
        address: ip:port of its own gRPC server.
        initial_members: Members of the cluster, including this replica, in effect until
            the first change in the log.
        folder: Data folder port, for example ``DiskFolder(path=...)``.
        machine: State machine that committed entries are applied to.
        transport: Transport to the peers, for example ``GrpcTransport()``.
        clock: Clock port.
        options: Timeouts and batch sizes.
        rng: Source of jitter and storage ids; tests pass a seeded one.
        allow_bootstrap: Whether an empty folder may bootstrap a new cluster. If
            not, it belongs to a new replica or one that lost its disk, which waits
            to be admitted.
        is_first_start: Whether the cluster starts for the first time: all replicas
            start with empty folders, and none has lost one. Then a majority of them
            suffices to bootstrap. Must not be set for any later start.
        shared: Soft state to piggyback on replication messages, or None.

    Example:
        >>> replica = Replica(node_id="a", address="127.0.0.1:7001", ...)
        >>> add_ReplicationServicer_to_server(
        ...     ReplicationServicer(replica=replica), server
        ... )
        >>> task = asyncio.create_task(replica.run())
        >>> result = await replica.propose(command.SerializeToString())

    Notes:
        An entry costs one message from the leader to each follower and one sync on
        each replica. Under load a batch of entries shares both.

    Attributes:
        on_applied: Subject that emits the applied index after each batch.
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: str,
        initial_members: Sequence[Member],
        folder: Folder,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        options: ReplicaOptions | None = None,
        rng: random.Random | None = None,
        allow_bootstrap: bool = True,
        is_first_start: bool = False,
        shared: SharedState | None = None,
    ):
        self._state = ReplicaState(
            node_id=node_id,
            address=address,
            initial_members=initial_members,
            storage=LogStorage(folder=folder),
            machine=machine,
            transport=transport,
            clock=clock,
            options=options or ReplicaOptions(),
            rng=rng or random.SystemRandom(),
            allow_bootstrap=allow_bootstrap,
            is_first_start=is_first_start,
            shared=shared,
        )
        self.on_applied = self._state.on_applied
        self._loaded = asyncio.Event()
        self._stopped = False
        self._failure: asyncio.Future | None = None

    async def run(self) -> None:
        """Load the log and run the replica until cancelled.

        Raises:
            OSError: The data folder failed; the replica has stopped.
        """
        state = self._state
        self._failure = asyncio.get_running_loop().create_future()
        try:
            await self._load()
            async with asyncio.TaskGroup() as group:
                state.start_peer = lambda peer: group.create_task(run_peer(state, peer))
                state.update_peers()
                self._loaded.set()
                group.create_task(run_bootstrap(state))
                group.create_task(run_elections(state))
                group.create_task(run_sync(state))
                group.create_task(run_snapshots(state))
                await self._failure
        except BaseExceptionGroup as exc:
            raise exc.exceptions[0] from exc
        finally:
            await self._close()

    async def propose(self, data: bytes) -> object:
        """Commit one command and return what ``apply`` returned for it.

        Args:
            data: The command.

        Returns:
            What the state machine's ``apply`` returned.

        Raises:
            NotLeaderError: This replica is not the leader; nothing was appended.
            WigeonscaleError: ``NO_QUORUM``, with run state ``NOT_RUN`` if nothing
                was appended, else ``UNKNOWN``; ``OVERLOADED`` if too many proposals
                are pending; or the error that ``apply`` caused.
        """
        state = self._state
        check_can_propose(state)
        index = append_as_leader(state, EntryKind.COMMAND, data)
        return await state.proposals.wait_for_result(index, state.term)

    async def change_members(
        self, *, add: Member | None = None, remove: str | None = None
    ) -> None:
        """Commit one change of the members.

        An added member has no vote at first. The leader makes it a voting member
        once it has caught up.

        Args:
            add: Member to add.
            remove: Node id of the member to remove.

        Raises:
            NotLeaderError: This replica is not the leader.
            WigeonscaleError: ``IN_PROGRESS`` while another change is not committed,
                ``BAD_REQUEST`` for an invalid change, or as :meth:`propose`.
        """
        state = self._state
        check_can_propose(state)
        if not can_change_members(state):
            raise WigeonscaleError(
                ErrorKind.IN_PROGRESS,
                f"the change of members at entry {state.member_log.index} is not yet"
                " committed",
                retry_after=1.0,
            )
        members = changed_members(state.members, add=add, remove=remove)
        await state.proposals.wait_for_result(
            append_members(state, members), state.term
        )

    async def transfer_leadership(self) -> bool:
        """Transfer leadership to another replica before a planned stop.

        New proposals are rejected with run state ``NOT_RUN``; those in flight are
        committed first. Then the most caught-up voter is asked to campaign. Takes at
        most one election timeout; returns immediately if this replica is not the
        leader. This replica does not stand for election again.

        Returns:
            Whether another replica has become the leader.
        """
        return await transfer_leadership(self._state)

    # ------------------------------------------------------------- status

    @property
    def role(self) -> Role:
        """Role of this replica."""
        return self._state.role

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._state.term

    @property
    def leader_address(self) -> str:
        """Address of the leader; empty if it is not known."""
        return self._state.leader_address

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last applied entry."""
        return self._state.applied_index

    @property
    def applied_term(self) -> int:
        """Term of the last applied entry."""
        return self._state.applied_term

    @property
    def may_vote(self) -> bool:
        """Whether this replica may vote; false after it lost its disk."""
        return self._state.may_vote

    @property
    def syncs(self) -> int:
        """Number of syncs of log entries so far."""
        return self._state.storage.syncs

    def last_position(self) -> tuple[int, int]:
        """Return (term, index) of the last entry, committed or not."""
        storage = self._state.storage
        return storage.last_term, storage.last_index

    def fresh_at(self) -> float | None:
        """Return the time as of which the applied state is known to be up to date.

        Returns:
            A local time of the clock port; every entry committed before it is
            applied here. None if no such time is known yet.
        """
        if self._state.leading:
            update_lease(self._state)
        return self._state.fresh_at

    def members(self) -> tuple[Member, ...]:
        """Return the members according to the latest change in the log."""
        return self._state.members

    @property
    def cluster_has_log(self) -> bool:
        """Whether this replica knows that its cluster already has a log."""
        return self._state.storage.last_index > 0 or self._state.may_vote

    def seconds_since_leader_contact(self) -> float:
        """Return the seconds since the last message of a leader; 0 while leading."""
        if self._state.leading:
            return 0.0
        return self._state.clock.now() - self._state.leader_contact_at

    def seconds_since_peer_contact(self, node_id: str) -> float:
        """Return the seconds since the last message of a peer; inf if none arrived."""
        peer = self._state.peers.get(node_id)
        return self._state.clock.now() - peer.last_contact_at if peer else math.inf

    # ------------------------------------------------------------- peers

    async def handle_append(self, req: wire.AppendRequest) -> wire.AppendReply:
        """Handle an append request of the leader."""
        return await self._handle(handle_append, req)

    async def handle_vote(self, req: wire.VoteRequest) -> wire.VoteReply:
        """Handle a vote request."""
        return await self._handle(handle_vote, req)

    async def handle_campaign(self, req: wire.CampaignRequest) -> wire.CampaignReply:
        """Handle the request of a leader to take over leadership."""
        return await self._handle(handle_campaign, req)

    async def _handle(self, handler: Handler, req: Message) -> Message:
        """Run a handler to completion, even if the peer's stream breaks."""
        if self._stopped:
            raise WigeonscaleError(
                ErrorKind.STOPPING, f"replica {self._state.node_id} has stopped"
            )
        return await run_shielded(
            self._state.shielded_tasks, self._handle_when_loaded(handler, req)
        )

    async def _handle_when_loaded(self, handler: Handler, req: Message) -> Message:
        await self._loaded.wait()
        try:
            return await handler(self._state, req)
        except OSError as exc:
            if not self._failure.done():
                self._failure.set_exception(exc)
            raise WigeonscaleError(
                ErrorKind.INTERNAL, f"storage of {self._state.node_id} failed: {exc}"
            ) from exc

    # ------------------------------------------------------------- internals

    async def _load(self) -> None:
        state = self._state
        await state.storage.load(
            f"{state.rng.getrandbits(STORAGE_ID_BITS):032x}",
            is_first_start=state.is_first_start,
        )
        snapshot = state.storage.snapshot
        if snapshot is not None:
            await restore_machine(state, snapshot.data)
            state.commit_index = snapshot.index
            state.applied_index = snapshot.index
            state.applied_term = snapshot.term
        state.load_members()
        state.election_timer_start = (
            state.clock.now()
            - STARTUP_REDUCTION_SHARE * state.options.election_timeout_s
        )

    async def _close(self) -> None:
        state = self._state
        self._stopped = True
        step_down(state, "it is stopping")
        tasks = list(state.shielded_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in state.peers.values():
            await peer.client.reset()
        await state.storage.close()
