"""The answer to one request, across all its dispatches."""

__all__ = ["Answer"]

import logging
from collections.abc import Awaitable, Callable

from wigeonscale.adapters import log_fields
from wigeonscale.dispatch.retries import caller_error, is_retried
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import AnswerRecord
from wigeonscale.dispatch.transport import DispatchTransport
from wigeonscale.dispatch.work import Work
from wigeonscale.errors import WigeonscaleError

logger = logging.getLogger(__name__)

Reopen = Callable[[Work, AnswerRecord, frozenset[str]], Awaitable[DispatchStream]]


class Answer:
    """The answer to one request; moves to another agent when its agent fails.

    Args:
        stream: Current dispatch.
        transport: Transport of the dispatches.
        work: The work; None for an answer attached to by its id.
        reopen: Dispatches the rest of the work; None when that is not possible.
        on_complete: Called when the answer has ended without an error.

    Attributes:
        stream: Current dispatch.
    """

    def __init__(
        self,
        *,
        stream: DispatchStream,
        transport: DispatchTransport,
        work: Work | None = None,
        reopen: Reopen | None = None,
        on_complete: Callable[[], None] = lambda: None,
    ):
        self.stream = stream
        self._on_complete = on_complete
        self._redispatches = 0
        self._transport = transport
        self._work = work
        self._reopen = reopen

    @property
    def request_id(self) -> str:
        """Id under which any entry can attach to the answer."""
        return self.stream.dispatch_id

    @property
    def record(self) -> AnswerRecord:
        """All tokens received so far."""
        return self.stream.record

    @property
    def once(self) -> bool:
        """Whether the work must run at most once."""
        return self._work is not None and self._work.once

    async def read(self) -> list[str]:
        """Return the next token texts; an empty list at the end.

        Raises:
            WigeonscaleError: When the rest of the answer is not available.
        """
        while True:
            try:
                texts = await self.stream.read()
                if not texts:
                    self._on_complete()
                return texts
            except WigeonscaleError as exc:
                await self._redispatch(exc)

    def abandon(self) -> None:
        """Detach after the caller is gone; cancel the work where that is allowed."""
        # Claimed work continues, since its idempotency key still gives access to the
        # answer. An answer attached to by its id may be claimed, so it is not
        # cancelled either.
        cancel = self._work is not None and not self._work.once
        self._transport.drop(self.stream, cancel=cancel)

    def close(self) -> None:
        """Detach from an answer that has ended or that others still read."""
        self._transport.drop(self.stream)

    async def _redispatch(self, exc: WigeonscaleError) -> None:
        work = self._work
        if work is None or self._reopen is None or not work.repeatable:
            raise caller_error(exc, once=self.once) from exc
        if not is_retried(exc) or self._redispatches >= work.attempts:
            raise exc
        if self.record.next_index >= work.generate.max_tokens:
            # Only the final message was lost; another agent would generate a token
            # beyond the limit.
            self.stream.end_at_limit()
            return
        logger.info(
            "dispatch failed, retrying on another agent: %s",
            exc.message,
            extra=log_fields(request_id=self.request_id, kind=exc.kind),
        )
        self.close()
        avoid = frozenset({self.stream.target.agent_id})
        self.stream = await self._reopen(work, self.record, avoid)
        self._redispatches += 1
