"""The dispatch table: what was opened here, its answer, and who reads it."""

__all__ = ["Dispatch", "DispatchState", "DispatchTable", "Reader", "refused_item"]

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

TOKEN_BYTES = 150
"""Estimated memory of one kept token beside its text."""

REMEMBER_S = 3600.0
"""Seconds for which the id of an ended dispatch is remembered."""

REMEMBER_COUNT = 200_000
"""Most ids of ended dispatches remembered."""

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
        cursor: Index of the next token to send.
        credit: Tokens that may still be sent.
        notices: Items to send before any token.
    """

    dispatch: "Dispatch"
    wake: Callable[["Reader"], None]
    cursor: int
    credit: int = INITIAL_CREDIT
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
        readers: Entries that read the answer.
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

    def wake_readers(self) -> None:
        """Tell every reader that there is more to send."""
        for reader in self.readers:
            reader.wake(reader)

    def late(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return self.deadline is not None and now >= self.deadline


@dataclass(frozen=True, slots=True)
class _Memory:
    """What is remembered of an ended dispatch."""

    state: RunState
    at: float


class DispatchTable:
    """Every dispatch that is open or kept, and the ids of earlier ones.

    Args:
        clock: Clock port.
        keep_bytes: Most bytes of answers kept.
        keep_s: Seconds for which an ended answer is kept.
    """

    def __init__(self, *, clock: Clock, keep_bytes: int, keep_s: float):
        self._clock = clock
        self._keep_bytes = keep_bytes
        self._keep_s = keep_s
        self._dispatches: dict[str, Dispatch] = {}
        self._ended: OrderedDict[str, Dispatch] = OrderedDict()
        self._memory: OrderedDict[str, _Memory] = OrderedDict()
        self._forgot_early = False
        self._unreported: set[str] = set()
        self.kept_bytes = 0

    def __len__(self) -> int:
        return len(self._dispatches)

    def get(self, dispatch_id: str) -> Dispatch | None:
        """Return an open or kept dispatch, or None."""
        return self._dispatches.get(dispatch_id)

    def live(self) -> list[Dispatch]:
        """Return the dispatches that have not ended."""
        return [d for d in self._dispatches.values() if d.end is None]

    def memory(self, dispatch_id: str) -> RunState | None:
        """Return what is remembered of a dispatch that is no longer kept.

        Returns:
            ``NOT_RUN`` for one that never began and never will, ``RAN`` for one
            that began; None for one never seen.
        """
        known = self._memory.get(dispatch_id)
        return known.state if known else None

    @property
    def forgot_early(self) -> bool:
        """Whether ids had to be forgotten before their time."""
        return self._forgot_early

    def add(self, dispatch: Dispatch) -> None:
        """Add a dispatch that was just opened."""
        self._dispatches[dispatch.dispatch_id] = dispatch

    def never(self, dispatch_id: str) -> None:
        """Remember that a dispatch never began and must never begin."""
        self._remember(dispatch_id, RunState.NOT_RUN)

    def await_report(self, dispatch_id: str) -> None:
        """Remember this id until :meth:`reported`, however long it takes."""
        self._unreported.add(dispatch_id)

    def reported(self, dispatch_id: str) -> None:
        """Its outcome stands in control, so the id may be forgotten in time."""
        self._unreported.discard(dispatch_id)

    def produced(self, dispatch: Dispatch, token: wire.Token) -> None:
        """Append a token to an answer and count its bytes."""
        dispatch.tokens.append(token)
        self._count(dispatch, TOKEN_BYTES + len(token.text))
        dispatch.wake_readers()

    def end(self, dispatch: Dispatch, item: wire.DispatchItem) -> None:
        """End a dispatch with the last item of its answer."""
        never_began = dispatch.state is DispatchState.QUEUED
        item.dispatch_id = dispatch.dispatch_id
        dispatch.end = item
        dispatch.state = DispatchState.ENDED
        dispatch.ended_at = self._clock.now()
        state = RunState.NOT_RUN if never_began else RunState.RAN
        self._remember(dispatch.dispatch_id, state)
        self._ended[dispatch.dispatch_id] = dispatch
        self._count(dispatch, item.ByteSize())
        dispatch.wake_readers()

    def sweep(self) -> None:
        """Drop answers past their age or over the bytes, and old ids."""
        now = self._clock.now()
        for dispatch in list(self._ended.values()):
            if now - dispatch.ended_at < self._keep_s:
                break
            self._drop(dispatch)
        if self.kept_bytes > self._keep_bytes:
            self._drop_over_bytes()
        self._forget(now)

    @property
    def is_full(self) -> bool:
        """Whether the answers of running work alone exceed the bytes."""
        return self.kept_bytes > self._keep_bytes

    def _drop_over_bytes(self) -> None:
        # Taken answers first, then the oldest that nobody reads now.
        taken = [d for d in self._ended.values() if _is_taken(d)]
        unread = [d for d in self._ended.values() if not d.readers and d not in taken]
        for dispatch in [*taken, *unread]:
            if self.kept_bytes <= self._keep_bytes:
                return
            self._drop(dispatch)

    def _drop(self, dispatch: Dispatch) -> None:
        self._ended.pop(dispatch.dispatch_id, None)
        self._dispatches.pop(dispatch.dispatch_id, None)
        self.kept_bytes -= dispatch.kept_bytes
        expired = _expired_item(dispatch.dispatch_id)
        for reader in list(dispatch.readers):
            if not reader.ended:
                reader.notices.append(expired)
                reader.ended = True
                reader.wake(reader)

    def _count(self, dispatch: Dispatch, size: int) -> None:
        dispatch.kept_bytes += size
        self.kept_bytes += size
        if self.kept_bytes > self._keep_bytes:
            self._drop_over_bytes()

    def _remember(self, dispatch_id: str, state: RunState) -> None:
        known = self._memory.get(dispatch_id)
        if known is not None and known.state is RunState.RAN:
            return
        self._memory[dispatch_id] = _Memory(state, self._clock.now())

    def _forget(self, now: float) -> None:
        waiting: list[str] = []
        while self._memory:
            dispatch_id, known = next(iter(self._memory.items()))
            young = now - known.at < REMEMBER_S
            if young and len(self._memory) <= REMEMBER_COUNT:
                break
            del self._memory[dispatch_id]
            if dispatch_id in self._unreported:
                waiting.append(dispatch_id)
                continue
            self._forgot_early = self._forgot_early or young
        for dispatch_id in waiting:
            self._memory[dispatch_id] = _Memory(RunState.RAN, now)


def _is_taken(dispatch: Dispatch) -> bool:
    readers = dispatch.readers
    return bool(readers) and all(reader.ended for reader in readers)


def _expired_item(dispatch_id: str) -> wire.DispatchItem:
    exc = WigeonscaleError(
        ErrorKind.ANSWER_EXPIRED,
        f"the answer of dispatch {dispatch_id} is no longer kept",
        run_state=RunState.RAN,
    )
    return refused_item(dispatch_id, exc)


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
