"""The dispatch table: open dispatches and the answers kept for entries."""

__all__ = ["DispatchTable"]

from collections import OrderedDict

from wigeonscale.agent import refusals
from wigeonscale.agent.answers import Dispatch, DispatchState, refused_item
from wigeonscale.agent.history import DispatchHistory
from wigeonscale.errors import RunState
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

TOKEN_OVERHEAD_BYTES = 150
"""Estimated memory of one kept token in addition to its text, in bytes."""

DELIVERY_GRACE_S = 3.0
"""Time for which a drain waits for an entry to reconnect for an ended answer."""


class DispatchTable:
    """All open dispatches and all ended ones whose answers are kept.

    Args:
        clock: Clock port.
        keep_bytes: Memory limit for requests and answers, in bytes.
        keep_s: Time for which an ended answer is kept, in seconds.

    Attributes:
        kept_bytes: Estimated current memory of requests and answers, in bytes.
        history: Run states of earlier dispatches.
    """

    def __init__(self, *, clock: Clock, keep_bytes: int, keep_s: float):
        self.kept_bytes = 0
        self.history = DispatchHistory(clock=clock)
        self._clock = clock
        self._keep_bytes = keep_bytes
        self._keep_s = keep_s
        self._dispatches: dict[str, Dispatch] = {}
        self._ended: OrderedDict[str, Dispatch] = OrderedDict()

    def __len__(self) -> int:
        return len(self._dispatches)

    def get(self, dispatch_id: str) -> Dispatch | None:
        """Return an open or kept dispatch, or None."""
        return self._dispatches.get(dispatch_id)

    def live(self) -> list[Dispatch]:
        """Return the dispatches that have not ended."""
        return [d for d in self._dispatches.values() if d.end is None]

    def undelivered(self) -> list[Dispatch]:
        """Return ended dispatches that are being read or may still be fetched."""
        oldest = self._clock.now() - DELIVERY_GRACE_S
        return [
            dispatch
            for dispatch in self._ended.values()
            if dispatch.has_live_reader
            or (not dispatch.was_delivered and dispatch.ended_at > oldest)
        ]

    def add(self, dispatch: Dispatch) -> None:
        """Add a newly opened dispatch."""
        self._dispatches[dispatch.dispatch_id] = dispatch
        self._add_bytes(dispatch, dispatch.open.ByteSize())

    def record_not_run(self, dispatch_id: str) -> None:
        """Record that a dispatch has not started and must never start."""
        self.history.record(dispatch_id, RunState.NOT_RUN)

    def append_token(self, dispatch: Dispatch, token: wire.Token) -> None:
        """Append a token to an answer and count its bytes."""
        dispatch.tokens.append(token)
        self._add_bytes(dispatch, TOKEN_OVERHEAD_BYTES + len(token.text))
        dispatch.wake_readers()

    def end(self, dispatch: Dispatch, item: wire.DispatchItem) -> None:
        """End a dispatch with the last item of its answer."""
        never_began = dispatch.state is DispatchState.QUEUED
        item.dispatch_id = dispatch.dispatch_id
        dispatch.end = item
        dispatch.state = DispatchState.ENDED
        dispatch.ended_at = self._clock.now()
        state = RunState.NOT_RUN if never_began else RunState.RAN
        self.history.record(dispatch.dispatch_id, state)
        self._ended[dispatch.dispatch_id] = dispatch
        self._release_work(dispatch)
        self._add_bytes(dispatch, item.ByteSize())
        dispatch.wake_readers()

    def sweep(self) -> None:
        """Evict answers that are too old or over the memory limit, and old ids."""
        now = self._clock.now()
        for dispatch in list(self._ended.values()):
            if now - dispatch.ended_at < self._keep_s:
                break
            self._evict(dispatch)
        if self.is_full:
            self._evict_to_limit()
        self.history.evict_old()

    @property
    def is_full(self) -> bool:
        """Whether the memory limit is exceeded."""
        return self.kept_bytes > self._keep_bytes

    def _release_work(self, dispatch: Dispatch) -> None:
        """Free the prompt or body, which is not needed after the dispatch has ended."""
        before = dispatch.open.ByteSize()
        dispatch.stop_work = dispatch.set_paused = None
        dispatch.open.ClearField("generate")
        dispatch.open.ClearField("call")
        self._add_bytes(dispatch, dispatch.open.ByteSize() - before)

    def _evict_to_limit(self) -> None:
        # Unread answers only: delivered ones first, then the oldest.
        unread = [d for d in self._ended.values() if not d.has_live_reader]
        unread.sort(key=lambda dispatch: not dispatch.was_delivered)
        for dispatch in unread:
            if not self.is_full:
                return
            self._evict(dispatch)

    def _evict(self, dispatch: Dispatch) -> None:
        self._ended.pop(dispatch.dispatch_id, None)
        self._dispatches.pop(dispatch.dispatch_id, None)
        self.kept_bytes -= dispatch.kept_bytes
        # Restarts the retention time, since the history is now the only record.
        state = self.history.state(dispatch.dispatch_id) or RunState.RAN
        self.history.record(dispatch.dispatch_id, state)
        exc = refusals.answer_unavailable(dispatch.dispatch_id, RunState.RAN)
        expired = refused_item(dispatch.dispatch_id, exc)
        for reader in list(dispatch.readers):
            reader.notices.append(expired)
            reader.ended = True
            reader.wake(reader)

    def _add_bytes(self, dispatch: Dispatch, size: int) -> None:
        dispatch.kept_bytes += size
        self.kept_bytes += size
