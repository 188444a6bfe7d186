"""Wire format of members, and majorities of the voting members."""

__all__ = ["majority_value", "members_from_wire", "members_to_wire", "quorum_size"]

from collections.abc import Callable, Iterable, Sequence

from wigeonscale.replication.model import Member
from wigeonscale.wire import wire_pb2 as wire


def members_to_wire(members: Iterable[Member]) -> list[wire.Voter]:
    """Convert members to wire messages."""
    return [
        wire.Voter(
            node_id=member.node_id,
            address=member.address,
            voting=member.voting,
            storage_id=member.storage_id,
        )
        for member in members
    ]


def members_from_wire(voters: Iterable[wire.Voter]) -> tuple[Member, ...]:
    """Convert wire messages to members."""
    return tuple(
        Member(
            node_id=voter.node_id,
            address=voter.address,
            voting=voter.voting,
            storage_id=voter.storage_id,
        )
        for voter in voters
    )


def quorum_size(members: Sequence[Member]) -> int:
    """Return the number of voting members that form a majority."""
    return sum(member.voting for member in members) // 2 + 1


def majority_value(
    members: Sequence[Member], value_of: Callable[[str], float]
) -> float:
    """Return the largest value that a majority of the voting members reached.

    Args:
        members: All members; non-voting ones are ignored.
        value_of: Returns the value of a member, given its node id.

    Example:
        >>> values = {"a": 7, "b": 5, "c": 3}
        >>> majority_value([Member(name, "") for name in values], values.get)
        5
    """
    values = [value_of(member.node_id) for member in members if member.voting]
    values.sort(reverse=True)
    return values[quorum_size(members) - 1] if values else 0
