"""Dispatches with their answers, and the read positions of entries."""

__all__ = ["Dispatch", "DispatchState", "Reader", "refused_item"]

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from wigeonscale.errors import RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.wire import wire_pb2 as wire

MAX_TOKENS_PER_RUN = 512
"""Maximum number of tokens in one message to one reader."""


class DispatchState(StrEnum):
    """Progress of a dispatch."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Reader:
    """The position of one entry in an answer.

    Attributes:
        dispatch: The dispatch whose answer is read.
        wake: Called when there are items to send.
        cursor: Index of the next token to send.
        credit: Number of tokens that may still be sent.
        entry: Name of the entry.
        is_alive: Returns whether the entry has sent a message recently.
        notices: Items to send before any token.
        ended: Whether the last item has been sent.
    """

    dispatch: "Dispatch"
    wake: Callable[["Reader"], None]
    cursor: int
    credit: int = INITIAL_CREDIT_TOKENS
    entry: str = ""
    is_alive: Callable[[], bool] = lambda: True
    notices: list[wire.DispatchItem] = field(default_factory=list)
    ended: bool = False

    def pop_pending(self) -> list[wire.DispatchItem]:
        """Return the items that may be sent now and advance the cursor past them."""
        items, self.notices = self.notices, []
        dispatch = self.dispatch
        run = self._token_run()
        if run is not None:
            items.append(
                wire.DispatchItem(dispatch_id=dispatch.dispatch_id, tokens=run)
            )
        if self._end_is_due:
            self.ended = True
            items.append(dispatch.end)
        return items

    @property
    def has_more(self) -> bool:
        """Whether another call of :meth:`pop_pending` would return items."""
        if self.ended:
            return False
        waiting = self.cursor < self.dispatch.produced
        return (waiting and self.credit > 0) or self._end_is_due

    @property
    def _end_is_due(self) -> bool:
        end = self.dispatch.end
        if end is None or self.cursor >= self.dispatch.produced:
            return end is not None
        # An error is sent as soon as the credit is used up, so that a slow caller
        # does not have to read the remaining tokens first.
        return self.credit <= 0 and end.HasField("refused")

    def _token_run(self) -> wire.TokenRun | None:
        dispatch = self.dispatch
        count = min(self.credit, dispatch.produced - self.cursor, MAX_TOKENS_PER_RUN)
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
    """One dispatched request and its answer.

    Attributes:
        open: The message that opened the dispatch.
        deadline: Clock time of the deadline, in seconds; None for no deadline.
        state: Progress of the dispatch.
        first_index: Index of the first token produced by this agent.
        tokens: Tokens produced by this agent.
        end: Last item of the answer; None while the dispatch is open.
        readers: Entries that currently read the answer.
        started_at: Clock time at which the work began, in seconds.
        ended_at: Clock time at which the dispatch ended, in seconds.
        kept_bytes: Estimated size of request and answer in memory, in bytes.
        was_delivered: Whether an entry was sent the whole answer or cancelled it.
        cancel_requested: Whether the caller cancelled while an older connection of
            the same entry still appeared to read the answer.
        stop_work: Stops the running work; None if it cannot be stopped.
        set_paused: Pauses or resumes a generation; None for other work.
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
    was_delivered: bool = False
    cancel_requested: bool = False
    stop_work: Callable[[], None] | None = None
    set_paused: Callable[[bool], None] | None = None

    @property
    def dispatch_id(self) -> str:
        """Id assigned by the entry."""
        return self.open.dispatch_id

    @property
    def organisation(self) -> str:
        """Organisation of the caller."""
        return self.open.organisation

    @property
    def produced(self) -> int:
        """Number of tokens of the answer so far, including the given prefix."""
        return self.first_index + len(self.tokens)

    @property
    def run_state(self) -> RunState:
        """Run state to report if the dispatch is refused now."""
        queued = self.state is DispatchState.QUEUED
        return RunState.NOT_RUN if queued else RunState.RAN

    @property
    def sent(self) -> int:
        """Number of tokens sent to the most advanced reader."""
        return max((r.cursor for r in self.readers), default=self.first_index)

    @property
    def has_live_reader(self) -> bool:
        """Whether a live entry currently reads the answer."""
        return any(reader.is_alive() for reader in self.readers)

    def has_other_live_reader(self, entry: str) -> bool:
        """Return whether a live entry other than ``entry`` reads the answer."""
        return any(r.is_alive() and r.entry != entry for r in self.readers)

    def wake_readers(self) -> None:
        """Notify all readers that there are items to send."""
        for reader in self.readers:
            reader.wake(reader)

    def deadline_exceeded(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return self.deadline is not None and now >= self.deadline


def refused_item(dispatch_id: str, exc: WigeonscaleError) -> wire.DispatchItem:
    """Return the item that reports an error to an entry."""
    return wire.DispatchItem(
        dispatch_id=dispatch_id,
        refused=wire.Refused(
            kind=exc.kind,
            message=exc.message,
            run_state=exc.run_state,
            retry_after_ms=int((exc.retry_after or 0) * 1000),
        ),
    )
