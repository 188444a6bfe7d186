"""Destination of a dispatch, and the tokens received from it."""

__all__ = ["AnswerRecord", "Target"]

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Target:
    """Agent that receives a dispatch.

    Attributes:
        agent_id: Name of the backend server.
        incarnation: Incarnation of its agent.
        address: ``ip:port`` of the agent's gRPC server.
    """

    agent_id: str
    incarnation: int
    address: str


@dataclass(slots=True)
class AnswerRecord:
    """Tokens of one answer received so far, across all its dispatches.

    Attributes:
        base: Index of the first token in the record.
        ids: Token ids from ``base`` on.
        texts: Token texts from ``base`` on.
    """

    base: int = 0
    ids: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)

    @property
    def next_index(self) -> int:
        """Index of the next expected token."""
        return self.base + len(self.texts)
