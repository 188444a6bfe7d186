"""One replica of the replicated log: the class that other packages use."""

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
# Share of the election timeout that a replica that just started does not wait. Where
# all start at once nobody leads, and callers wait for an election; where others run, a
# leader is heard or, by their answers to the vote asked for in advance, there is one.
STARTUP_TIMEOUT_REDUCTION = 0.75

Handler = Callable[[ReplicaState, Message], Awaitable[Message]]


class Replica:
    """One replica of the replicated log.

    Args:
        node_id: Stable name of this replica.
        address: ip:port of its own gRPC server.
        voters: All replicas of the first start, this one included.
        folder: Data folder port, for example ``DiskFolder(path=...)``.
        machine: State machine that committed entries are applied to.
        transport: Transport to the peers, for example ``GrpcTransport()``.
        clock: Clock port.
        options: Times and sizes.
        rng: Source of jitter and identities; tests pass a seeded one.
        allow_bootstrap: Whether an empty folder may be a first start. If not, it is a
            lost disk or a new replica, which waits to be admitted.
        shared: Soft state to pass on with the messages of the log; None for none.

    Example:
        >>> replica = Replica(node_id="a", address="127.0.0.1:7001", ...)
        >>> add_ReplicationServicer_to_server(
        ...     ReplicationServicer(replica=replica), server
        ... )
        >>> task = asyncio.create_task(replica.run())
        >>> result = await replica.propose(command.SerializeToString())

    Notes:
        An entry costs the leader one message to each follower and each replica a
        share of one sync; under load both are shared by a batch.

    Attributes:
        on_applied: Subject of the applied index, after each batch.
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: str,
        voters: Sequence[Member],
        folder: Folder,
        machine: StateMachine,
        transport: Transport,
        clock: Clock,
        options: ReplicaOptions | None = None,
        rng: random.Random | None = None,
        allow_bootstrap: bool = True,
        shared: SharedState | None = None,
    ):
        self._state = ReplicaState(
            node_id=node_id,
            address=address,
            voters=voters,
            storage=LogStorage(folder=folder),
            machine=machine,
            transport=transport,
            clock=clock,
            options=options or ReplicaOptions(),
            rng=rng or random.SystemRandom(),
            allow_bootstrap=allow_bootstrap,
            shared=shared,
        )
        self.on_applied = self._state.on_applied
        self._loaded = asyncio.Event()
        self._stopped = False
        self._failure: asyncio.Future | None = None

    async def run(self) -> None:
        """Load the log and take part until cancelled.

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
            NotLeaderError: This replica does not lead; nothing was appended.
            WigeonscaleError: ``NO_QUORUM``, with run state ``NOT_RUN`` when
                nothing was appended, else ``UNKNOWN``; ``OVERLOADED`` when too
                many proposals wait.
        """
        state = self._state
        check_can_propose(state)
        index = append_as_leader(state, EntryKind.COMMAND, data)
        return await state.proposals.wait_for_result(index, state.term)

    async def change_members(
        self, *, add: Member | None = None, remove: str | None = None
    ) -> None:
        """Commit one change of the members.

        A member that is added has no vote at first; the leader gives it one by
        itself once it has caught up.

        Args:
            add: Member to add.
            remove: Node id of the member to remove.

        Raises:
            NotLeaderError: This replica does not lead.
            WigeonscaleError: ``IN_PROGRESS`` while another change is not committed,
                ``BAD_REQUEST`` for a change that cannot be made, or as
                :meth:`propose`.
        """
        state = self._state
        check_can_propose(state)
        if not can_change_members(state):
            raise WigeonscaleError(
                ErrorKind.IN_PROGRESS,
                f"the change of members at entry {state.member_log.index} is not"
                " committed yet",
                retry_after=1.0,
            )
        members = changed_members(state.members, add=add, remove=remove)
        await state.proposals.wait_for_result(
            append_members(state, members), state.term
        )

    async def transfer_leadership(self) -> bool:
        """Give up leading for good, before a planned stop.

        Proposals in flight are committed first and new ones refused as not run.
        The most caught-up voter is asked to campaign at once. Takes at most an
        election timeout; returns at once when this replica does not lead.

        Returns:
            Whether another replica leads instead of this one.
        """
        return await transfer_leadership(self._state)

    # ------------------------------------------------------------- what is known

    @property
    def role(self) -> Role:
        """Part that this replica plays."""
        return self._state.role

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._state.term

    @property
    def leader_address(self) -> str:
        """Address of the leader as far as known, else empty."""
        return self._state.leader_address

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied."""
        return self._state.applied_index

    @property
    def applied_term(self) -> int:
        """Term of the last entry applied."""
        return self._state.applied_term

    @property
    def may_vote(self) -> bool:
        """Whether this replica has a vote; false after a lost disk."""
        return self._state.may_vote

    @property
    def syncs(self) -> int:
        """Syncs of log entries so far."""
        return self._state.storage.syncs

    def last_position(self) -> tuple[int, int]:
        """Return (term, index) of the last entry, committed or not."""
        storage = self._state.storage
        return storage.last_term, storage.last_index

    def fresh_at(self) -> float | None:
        """Return when the applied state is known to have been current.

        Returns:
            A local instant of the clock port: every entry that was committed
            before it is applied here. None when nothing is known yet.
        """
        if self._state.leading:
            update_lease(self._state)
        return self._state.fresh_at

    def members(self) -> tuple[Member, ...]:
        """Return the members by the latest change in the log."""
        return self._state.members

    @property
    def cluster_has_log(self) -> bool:
        """Whether this replica knows that its cluster ever had a log."""
        return self._state.storage.last_index > 0 or self._state.may_vote

    def seconds_since_leader_contact(self) -> float:
        """Return the seconds since a leader was heard; 0 while leading."""
        if self._state.leading:
            return 0.0
        return self._state.clock.now() - self._state.leader_heard_at

    def seconds_since_peer_contact(self, node_id: str) -> float:
        """Return the seconds since the last message of a peer; inf if none came."""
        peer = self._state.peers.get(node_id)
        return self._state.clock.now() - peer.heard_at if peer else math.inf

    # ------------------------------------------------------------- peers

    async def handle_append(self, req: wire.AppendRequest) -> wire.AppendReply:
        """Answer an append of the leader."""
        return await self._handle(handle_append, req)

    async def handle_vote(self, req: wire.VoteRequest) -> wire.VoteReply:
        """Answer a request for a vote."""
        return await self._handle(handle_vote, req)

    async def handle_campaign(self, req: wire.CampaignRequest) -> wire.CampaignReply:
        """Answer a leader that asks this replica to succeed it."""
        return await self._handle(handle_campaign, req)

    async def _handle(self, handler: Handler, req: Message) -> Message:
        """Run a handler to its end, also when the peer's stream breaks."""
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

    # ------------------------------------------------------------- inside

    async def _load(self) -> None:
        state = self._state
        await state.storage.load(f"{state.rng.getrandbits(STORAGE_ID_BITS):032x}")
        snapshot = state.storage.snapshot
        if snapshot is not None:
            await restore_machine(state, snapshot.data)
            state.commit_index = snapshot.index
            state.applied_index = snapshot.index
            state.applied_term = snapshot.term
        state.load_members()
        state.election_timer_start = (
            state.clock.now()
            - STARTUP_TIMEOUT_REDUCTION * state.options.election_timeout_s
        )

    async def _close(self) -> None:
        state = self._state
        self._stopped = True
        step_down(state, "it stops")
        tasks = list(state.shielded_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in state.peers.values():
            await peer.client.reset()
        await state.storage.close()
