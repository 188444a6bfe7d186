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
        ran_on: First engines of the paths that may have run it.
        lost: Engines that this request found lost.
        moves: Changes of the path of a running send.
        first_event_at: Instant at which the caller got its first event; None before it.
        latest_event_at: Instant at which the caller got its latest event.
        longest_pause_s: Longest time between two events that the caller got.
        paused_after: Event after which that was; None where events have no id.
    """

    last_id: int | None
    is_begun: bool = False
    sends: int = 0
    ran_on: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    reroutes: int = 0
    first_event_at: float | None = None
    latest_event_at: float = 0.0
    longest_pause_s: float = 0.0
    paused_after: int | None = None

    @property
    def must_finish(self) -> bool:
        """Whether the request is lost to its caller if it is not finished here.

        The caller has part of the answer, or cannot be told that nothing ran.
        """
        return self.is_begun or bool(self.ran_on)

    def note_event(self, now: float, event_id: int | None) -> None:
        """Count an event that the caller was sent.

        Args:
            now: Local instant.
            event_id: Its id; None where it has none.
        """
        if self.first_event_at is None:
            self.first_event_at = now
        elif now - self.latest_event_at > self.longest_pause_s:
            self.longest_pause_s = now - self.latest_event_at
            self.paused_after = self.last_id
        self.latest_event_at = now
        if event_id is not None:
            self.last_id = event_id
