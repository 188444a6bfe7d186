"""Answers in the making, and the places of those who read them."""

__all__ = ["Dispatch", "DispatchState", "Reader", "refused_item"]

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from wigeonscale.errors import RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.wire import wire_pb2 as wire

TOKENS_PER_RUN = 512
"""Most tokens in one message to one reader."""


class DispatchState(StrEnum):
    """How far a dispatch has come."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Reader:
    """One entry's place in an answer.

    Attributes:
        dispatch: The answer read.
        wake: Called when there is more to send.
        entry: Name of the entry.
        is_heard: Returns whether the entry gave a sign of life lately.
        cursor: Index of the next token to send.
        credit: Tokens that may still be sent.
        notices: Items to send before any token.
    """

    dispatch: "Dispatch"
    wake: Callable[["Reader"], None]
    cursor: int
    credit: int = INITIAL_CREDIT_TOKENS
    entry: str = ""
    is_heard: Callable[[], bool] = lambda: True
    notices: list[wire.DispatchItem] = field(default_factory=list)
    ended: bool = False

    def take(self) -> list[wire.DispatchItem]:
        """Return what may be sent now and count it as sent."""
        items, self.notices = self.notices, []
        dispatch = self.dispatch
        run = self._token_run()
        if run is not None:
            items.append(
                wire.DispatchItem(dispatch_id=dispatch.dispatch_id, tokens=run)
            )
        if self._end_is_due:
            self.ended = True
            dispatch.was_taken = True
            items.append(dispatch.end)
        return items

    @property
    def has_more(self) -> bool:
        """Whether another ``take`` would give something."""
        if self.ended:
            return False
        waiting = self.cursor < self.dispatch.produced
        return (waiting and self.credit > 0) or self._end_is_due

    @property
    def _end_is_due(self) -> bool:
        end = self.dispatch.end
        if end is None or self.cursor >= self.dispatch.produced:
            return end is not None
        # An error is told at once, not when a slow caller has taken the rest.
        return self.credit <= 0 and end.HasField("refused")

    def _token_run(self) -> wire.TokenRun | None:
        dispatch = self.dispatch
        count = min(self.credit, dispatch.produced - self.cursor, TOKENS_PER_RUN)
        if count <= 0:
            return None
        start = self.cursor - dispatch.first_index
        tokens = dispatch.tokens[start : start + count]
        run = wire.TokenRun(
            texts=[token.text for token in tokens], ids=[token.id for token in tokens]
        )
        setattr(run, "from", self.cursor)
        self.cursor += count
        self.credit -= count
        return run


@dataclass(slots=True, eq=False)
class Dispatch:
    """One request as this agent knows it.

    Attributes:
        open: The message that opened it.
        deadline: Reading of the clock at which it is late; None for never.
        state: How far it has come.
        first_index: Index of the first token made here.
        tokens: Tokens made here.
        end: Last item of the answer, once it has ended.
        readers: Entries that read the answer now.
        given_up: Whether its caller gave up while an older connection of the same
            entry still seemed to read it.
        was_taken: Whether an entry was sent the whole answer, or gave it up.
        started_at: Reading of the clock when work began.
        ended_at: Reading of the clock when it ended.
        stop_work: Stops running work; None when it cannot be stopped.
        set_paused: Pauses a generation or lets it go on; None for other work.
    """

    open: wire.Open
    deadline: float | None = None
    state: DispatchState = DispatchState.QUEUED
    first_index: int = 0
    tokens: list[wire.Token] = field(default_factory=list)
    end: wire.DispatchItem | None = None
    readers: set[Reader] = field(default_factory=set)
    started_at: float = 0.0
    ended_at: float = 0.0
    kept_bytes: int = 0
    was_taken: bool = False
    given_up: bool = False
    stop_work: Callable[[], None] | None = None
    set_paused: Callable[[bool], None] | None = None

    @property
    def dispatch_id(self) -> str:
        """Id given by the entry."""
        return self.open.dispatch_id

    @property
    def organisation(self) -> str:
        """Organisation of the caller."""
        return self.open.organisation

    @property
    def produced(self) -> int:
        """Tokens of the whole answer so far."""
        return self.first_index + len(self.tokens)

    @property
    def ran(self) -> RunState:
        """What a refusal now must say of the work."""
        queued = self.state is DispatchState.QUEUED
        return RunState.NOT_RUN if queued else RunState.RAN

    @property
    def sent(self) -> int:
        """Tokens that the furthest reader was sent."""
        return max((r.cursor for r in self.readers), default=self.first_index)

    @property
    def is_read(self) -> bool:
        """Whether an entry that gives signs of life reads the answer now."""
        return any(reader.is_heard() for reader in self.readers)

    def is_read_by_others(self, entry: str) -> bool:
        """Return whether another entry that gives signs of life reads it now."""
        return any(r.is_heard() and r.entry != entry for r in self.readers)

    def wake_readers(self) -> None:
        """Tell every reader that there is more to send."""
        for reader in self.readers:
            reader.wake(reader)

    def late(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return self.deadline is not None and now >= self.deadline


def refused_item(dispatch_id: str, exc: WigeonscaleError) -> wire.DispatchItem:
    """Return the item that tells an entry of an error."""
    return wire.DispatchItem(
        dispatch_id=dispatch_id,
        refused=wire.Refused(
            kind=exc.kind,
            message=exc.message,
            run_state=exc.run_state,
            retry_after_ms=int((exc.retry_after or 0) * 1000),
        ),
    )
