"""Progress of one generation over all its sends."""

__all__ = ["MAX_SENDS", "Progress"]

from dataclasses import dataclass, field

# Most sends of one request. The attempts of a route do not limit them, because refused
# sends that did not run are no attempts.
MAX_SENDS = 6
# A retry that was taken for the next send is used within this time, or not at all, as
# it counts in the budget from when it was taken.
MAX_HELD_RETRY_S = 0.5


@dataclass(slots=True)
class Progress:
    """Progress of one request.

    Attributes:
        last_id: Id of the last event that the caller has; None before the first.
        is_begun: Whether the response head was sent to the caller.
        sends: Number of sends.
        first_sent_at: Time of the first send; 0 before it.
        ran_on: First engines of the paths that may have run the request.
        lost: Engines that failed during this request.
        reroutes: Number of path changes of running sends.
        left_domain: Failure domain of the lost engine that the latest send left; empty
            if there is none or the stream has resumed since.
        next_domain: Failure domain drawn for the next send; empty for any.
        retry_held_until: Time until which the next send may use a retry that was taken
            from the budget for it; in the past if there is none.
        first_event_at: Time of the first event to the caller; None before it.
        latest_event_at: Time of the latest event to the caller.
        longest_pause_s: Longest time between two events to the caller.
        paused_after: Id of the event before that pause; None if events have no ids.
        has_gone_on: Whether a run went well past its start.
        has_given_up: Whether this entry ended a run itself, for want of events, while
            its connection was open.
    """

    last_id: int | None
    is_begun: bool = False
    sends: int = 0
    first_sent_at: float = 0.0
    ran_on: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    reroutes: int = 0
    left_domain: str = ""
    next_domain: str = ""
    retry_held_until: float = float("-inf")
    first_event_at: float | None = None
    latest_event_at: float = 0.0
    longest_pause_s: float = 0.0
    paused_after: int | None = None
    has_gone_on: bool = False
    has_given_up: bool = False

    @property
    def must_finish(self) -> bool:
        """Whether only this entry can complete the request for its caller.

        The caller has a part of the response, or the request may have run, so that the
        caller cannot be told that it did not.
        """
        return self.is_begun or bool(self.ran_on)

    @property
    def is_held_by_caller(self) -> bool:
        """Whether only the caller or the deadline may end the request.

        The caller has a part of the response, and this entry ended a run that might
        have gone on.
        """
        return self.is_begun and self.has_given_up

    @property
    def waits_since(self) -> float:
        """Time since which the caller of a sent request has been without an event."""
        if self.first_event_at is None:
            return self.first_sent_at
        return self.latest_event_at

    def hold_retry(self, now: float) -> None:
        """Record that a retry was taken from the budget for the next send.

        Args:
            now: Local time.
        """
        self.retry_held_until = now + MAX_HELD_RETRY_S

    def holds_retry(self, now: float) -> bool:
        """Return whether the next send may use a retry that was taken for it.

        Args:
            now: Local time.
        """
        return now < self.retry_held_until

    def use_retry(self, now: float) -> bool:
        """Use the retry that was taken for the next send; return whether there is one.

        Args:
            now: Local time.
        """
        is_held = self.holds_retry(now)
        self.retry_held_until = float("-inf")
        return is_held

    def note_send(self, now: float) -> None:
        """Record a send.

        Args:
            now: Local time.
        """
        self.sends += 1
        if self.sends == 1:
            self.first_sent_at = now

    def note_event(self, now: float, event_id: int | None) -> None:
        """Record an event that was sent to the caller.

        Args:
            now: Local time.
            event_id: Id of the event; None if it has none.
        """
        if self.first_event_at is None:
            self.first_event_at = now
        elif now - self.latest_event_at > self.longest_pause_s:
            self.longest_pause_s = now - self.latest_event_at
            self.paused_after = self.last_id
        self.latest_event_at = now
        if event_id is not None:
            self.last_id = event_id
