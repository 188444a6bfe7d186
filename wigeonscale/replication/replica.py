"""One replica of the replicated log: the class that other packages use."""

__all__ = ["Replica"]

import random
from collections.abc import Sequence

from reactivex import Subject

from wigeonscale.ports import Clock
from wigeonscale.replication.model import Member, ReplicaOptions, Role, StateMachine


class Replica:
    """One replica of the replicated log.

    Args:
        node_id: Stable name of this replica.
        address: ip:port of its own gRPC server.
        voters: All replicas of the first start, this one included.
        folder: Data folder port, for example ``DiskFolder(path=...)``.
        machine: State machine that committed entries are applied to.
        links: Way to the peers, for example ``GrpcLinks()``.
        clock: Clock port.
        options: Times and sizes.
        rng: Source of the election jitter.

    Example:
        >>> replica = Replica(node_id="a", address="127.0.0.1:7001", ...)
        >>> task = asyncio.create_task(replica.run())
        >>> result = await replica.propose(command.SerializeToString())
    """

    def __init__(
        self,
        *,
        node_id: str,
        address: str,
        voters: Sequence[Member],
        folder: object,
        machine: StateMachine,
        links: object,
        clock: Clock,
        options: ReplicaOptions | None = None,
        rng: random.Random | None = None,
    ):
        self.on_applied: Subject = Subject()

    async def run(self) -> None:
        """Load the log and take part until cancelled."""
        raise NotImplementedError

    async def propose(self, data: bytes) -> object:
        """Commit one command and return what ``apply`` returned for it.

        Raises:
            NotLeaderError: This replica does not lead; nothing was appended.
            WigeonscaleError: ``NO_QUORUM``, with run state ``NOT_RUN`` when
                nothing was appended, else ``UNKNOWN``.
        """
        raise NotImplementedError

    async def change_voters(
        self, *, add: Member | None = None, remove: str | None = None
    ) -> None:
        """Commit one change of the members: add one or remove one."""
        raise NotImplementedError

    role: Role
    term: int
    leader_address: str
    commit_index: int
    applied_index: int
    applied_term: int

    def last_position(self) -> tuple[int, int]:
        """Return (term, index) of the last entry, committed or not."""
        raise NotImplementedError

    def fresh_at(self) -> float | None:
        """Return when the applied state is known to have been current."""
        raise NotImplementedError

    def members(self) -> tuple[Member, ...]:
        """Return the members by the latest change in the log."""
        raise NotImplementedError

    def peer_silence(self, node_id: str) -> float:
        """Return the seconds since the last message of a peer; inf if none came."""
        raise NotImplementedError
