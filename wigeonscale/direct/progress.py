"""How far one generation has come, over all its sends."""

__all__ = ["Progress"]

from dataclasses import dataclass, field


@dataclass(slots=True)
class Progress:
    """How far a request has come.

    Attributes:
        last_id: Last event that the caller has; None before the first.
        is_begun: Whether the caller was sent the head.
        sends: Sends so far.
        ran_at: First engines of the paths that may have run it.
        lost: Engines that this request found lost.
    """

    last_id: int | None
    is_begun: bool = False
    sends: int = 0
    ran_at: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
