"""The dispatch stream of one entry: its readers and its single writer."""

__all__ = ["EntryStream"]

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable

from wigeonscale.agent.answers import Dispatch, Reader
from wigeonscale.agent.prefixes import PrefixOutbox
from wigeonscale.pipelines.constants import ENTRY_TIMEOUT_S, INITIAL_CREDIT_TOKENS
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire


class EntryStream:
    """Batches all items that are ready for one entry into one message at a time.

    Tokens are not queued per stream: a reader is only a position in a kept answer.
    While the entry does not accept messages, tokens accumulate in the dispatch table
    and are sent together later. A slow entry therefore needs no additional memory
    and does not delay other entries.

    Args:
        load: Returns the load report that is sent with every message.
        clock: Clock port.
        prefixes: Cache events for this stream; None for a plain service.
        entry_timeout_s: Seconds without a message after which the entry no longer
            counts as a live reader.

    Attributes:
        name: Name of the entry; empty until its ``EntryHello``.
    """

    def __init__(
        self,
        *,
        load: Callable[[], wire.LoadWord],
        clock: Clock,
        prefixes: PrefixOutbox | None = None,
        entry_timeout_s: float = ENTRY_TIMEOUT_S,
    ):
        self.name = ""
        self._load = load
        self._clock = clock
        self._prefixes = prefixes
        self._entry_timeout_s = entry_timeout_s
        self._last_activity = clock.now()
        self._readers: dict[str, Reader] = {}
        self._dirty: dict[Reader, None] = {}
        self._items: deque[wire.DispatchItem] = deque()
        self._pong_us = 0
        self._wake = asyncio.Event()
        if prefixes is not None:
            prefixes.on_added = self.wake

    def attach(self, dispatch: Dispatch, from_token: int) -> Reader:
        """Start reading an answer from a token index, with the initial credit.

        An earlier reader of the same dispatch on this stream is replaced.
        """
        self.detach(dispatch.dispatch_id)
        reader = Reader(
            dispatch=dispatch,
            wake=self._mark_dirty,
            cursor=max(from_token, dispatch.first_index),
            credit=INITIAL_CREDIT_TOKENS,
            entry=self.name,
            is_alive=self.is_alive,
        )
        self._readers[dispatch.dispatch_id] = reader
        dispatch.readers.add(reader)
        self._mark_dirty(reader)
        return reader

    def record_activity(self) -> None:
        """Record that a message from the entry has arrived."""
        self._last_activity = self._clock.now()

    def is_alive(self) -> bool:
        """Return whether a message from the entry has arrived recently."""
        return self._clock.now() - self._last_activity < self._entry_timeout_s

    def detach(self, dispatch_id: str) -> None:
        """Stop reading an answer."""
        reader = self._readers.pop(dispatch_id, None)
        if reader is not None:
            self._dirty.pop(reader, None)
            reader.dispatch.readers.discard(reader)

    def credit(self, credits: Iterable[wire.Credit]) -> None:
        """Add credit, which allows more tokens of answers to be sent."""
        for credit in credits:
            reader = self._readers.get(credit.dispatch_id)
            if reader is not None and credit.tokens > 0:
                reader.credit += credit.tokens
                self._mark_dirty(reader)

    def send(self, item: wire.DispatchItem) -> None:
        """Schedule one item for the next message."""
        self._items.append(item)
        self._wake.set()

    def pong(self, sent_us: int) -> None:
        """Schedule the reply to a ping; only the newest ping is answered."""
        self._pong_us = sent_us
        self._wake.set()

    def wake(self) -> None:
        """Schedule a message with the load report, even without items."""
        self._wake.set()

    async def write(self, send: Callable[[wire.DispatchEvent], Awaitable]) -> None:
        """Write messages until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            event, ended = self._next_event()
            await send(event)
            for reader in ended:
                reader.dispatch.was_delivered = True
                self._dirty.pop(reader, None)
                self._remove(reader)

    def close(self) -> None:
        """Stop reading all answers."""
        for dispatch_id in list(self._readers):
            self.detach(dispatch_id)

    def _next_event(self) -> tuple[wire.DispatchEvent, list[Reader]]:
        """Return the next message, and the readers whose answers end with it."""
        event = wire.DispatchEvent(load=self._load(), pong_us=self._pong_us)
        self._pong_us = 0
        prefixes = self._prefixes.pop_pending() if self._prefixes is not None else None
        if prefixes is not None:
            event.prefixes.CopyFrom(prefixes)
        event.items.extend(self._items)
        self._items.clear()
        ended = []
        dirty, self._dirty = self._dirty, {}
        for reader in dirty:
            event.items.extend(reader.pop_pending())
            if reader.has_more:
                self._mark_dirty(reader)
            if reader.ended:
                ended.append(reader)
        return event, ended

    def _remove(self, reader: Reader) -> None:
        reader.dispatch.readers.discard(reader)
        if self._readers.get(reader.dispatch.dispatch_id) is reader:
            del self._readers[reader.dispatch.dispatch_id]

    def _mark_dirty(self, reader: Reader) -> None:
        self._dirty[reader] = None
        self._wake.set()
