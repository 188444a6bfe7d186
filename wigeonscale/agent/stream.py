"""One entry's dispatch stream: its readers and its single writer."""

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
    """Sends one message per iteration with all that its entry may get.

    Nothing is queued for the answers themselves: a reader is a place in a kept
    answer. While the peer does not take messages, tokens gather in the table and
    go out together, so one slow peer costs neither memory nor the others' time.

    Args:
        load: Returns the load word that rides on every message.
        clock: Clock port.
        prefixes: Cache events for this stream; None beside a plain service.
        silence_s: Seconds without a message after which the entry does not count.
    """

    def __init__(
        self,
        *,
        load: Callable[[], wire.LoadWord],
        clock: Clock,
        prefixes: PrefixOutbox | None = None,
        silence_s: float = ENTRY_TIMEOUT_S,
    ):
        self.name = ""
        self._load = load
        self._clock = clock
        self._prefixes = prefixes
        self._silence_s = silence_s
        self._heard_at = clock.now()
        self._readers: dict[str, Reader] = {}
        self._dirty: dict[Reader, None] = {}
        self._items: deque[wire.DispatchItem] = deque()
        self._pong_us = 0
        self._wake = asyncio.Event()
        if prefixes is not None:
            prefixes.on_added = self.wake

    def attach(self, dispatch: Dispatch, from_token: int) -> Reader:
        """Read an answer from a token index, with fresh initial credit.

        An earlier reader of the same dispatch on this stream is replaced.
        """
        self.detach(dispatch.dispatch_id)
        reader = Reader(
            dispatch=dispatch,
            wake=self._mark,
            cursor=max(from_token, dispatch.first_index),
            credit=INITIAL_CREDIT_TOKENS,
            entry=self.name,
            is_heard=self.is_heard,
        )
        self._readers[dispatch.dispatch_id] = reader
        dispatch.readers.add(reader)
        self._mark(reader)
        return reader

    def heard(self) -> None:
        """Note a message of the entry."""
        self._heard_at = self._clock.now()

    def is_heard(self) -> bool:
        """Return whether the entry gave a sign of life lately."""
        return self._clock.now() - self._heard_at < self._silence_s

    def detach(self, dispatch_id: str) -> None:
        """Stop reading an answer."""
        reader = self._readers.pop(dispatch_id, None)
        if reader is not None:
            self._dirty.pop(reader, None)
            reader.dispatch.readers.discard(reader)

    def credit(self, credits: Iterable[wire.Credit]) -> None:
        """Allow further tokens of answers to be sent."""
        for credit in credits:
            reader = self._readers.get(credit.dispatch_id)
            if reader is not None and credit.tokens > 0:
                reader.credit += credit.tokens
                self._mark(reader)

    def send(self, item: wire.DispatchItem) -> None:
        """Send one item as soon as may be."""
        self._items.append(item)
        self._wake.set()

    def pong(self, sent_us: int) -> None:
        """Answer a ping; only the newest one is answered."""
        self._pong_us = sent_us
        self._wake.set()

    def wake(self) -> None:
        """Send the load word even if there is nothing else."""
        self._wake.set()

    async def write(self, send: Callable[[wire.DispatchEvent], Awaitable]) -> None:
        """Write messages for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            event = self._next_event()
            await send(event)

    def close(self) -> None:
        """Stop reading every answer."""
        for dispatch_id in list(self._readers):
            self.detach(dispatch_id)

    def _next_event(self) -> wire.DispatchEvent:
        event = wire.DispatchEvent(load=self._load(), pong_us=self._pong_us)
        self._pong_us = 0
        prefixes = self._prefixes.take() if self._prefixes is not None else None
        if prefixes is not None:
            event.prefixes.CopyFrom(prefixes)
        event.items.extend(self._items)
        self._items.clear()
        dirty, self._dirty = self._dirty, {}
        for reader in dirty:
            event.items.extend(reader.take())
            if reader.has_more:
                self._mark(reader)
            if reader.ended:
                self._forget(reader)
        return event

    def _forget(self, reader: Reader) -> None:
        reader.dispatch.readers.discard(reader)
        if self._readers.get(reader.dispatch.dispatch_id) is reader:
            del self._readers[reader.dispatch.dispatch_id]

    def _mark(self, reader: Reader) -> None:
        self._dirty[reader] = None
        self._wake.set()
