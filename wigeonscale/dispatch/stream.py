"""Entry side of one dispatch: checks token indices, grants credit and seals."""

__all__ = ["DispatchStream", "Sink"]

import asyncio
from collections.abc import Callable
from typing import Protocol

from wigeonscale.dispatch.failures import AgentGoneError, refusal_error
from wigeonscale.dispatch.targets import AnswerRecord, Target
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.wire import wire_pb2 as wire

# Credit is granted in batches, not per token.
CREDIT_BATCH_TOKENS = INITIAL_CREDIT_TOKENS // 2
# Gaps in the token index, per dispatch, that are repaired by attaching again.
MAX_GAP_RETRIES = 3


Sink = Callable[[list[str]], bool]


class StreamLink(Protocol):
    """Interface of the connection to the agent used by :class:`DispatchStream`."""

    def send(self, request: wire.DispatchRequest) -> None:
        """Queue a message to the agent."""

    def remove(self, stream: "DispatchStream") -> None:
        """Remove a dispatch; its later items are ignored."""

    def grant_credit(self, dispatch_id: str, tokens: int) -> None:
        """Allow the agent to send more tokens of a dispatch."""


class DispatchStream:
    """One dispatch: fed by a link, read by the one task that serves its caller.

    Args:
        dispatch_id: Id of the dispatch.
        target: The agent.
        organisation: Organisation of the caller.
        record: Receives the tokens; shared by all dispatches of one answer.
        opening: Message that opens the dispatch; None to attach to an open one.
        seal_only: Whether to seal the dispatch, neither opening nor attaching to it.

    Attributes:
        link: Current link.
        sent: Whether its opening message may have been sent.
        accepted: Whether the agent has sent any item for it.
        counted: Whether it is counted in the load table.
        done: Final message of a generation.
        response: Response of a plain service.
        error: Error that ended it, if any.
    """

    def __init__(
        self,
        *,
        dispatch_id: str,
        target: Target,
        organisation: str,
        record: AnswerRecord,
        opening: wire.Open | None = None,
        seal_only: bool = False,
    ):
        self.dispatch_id = dispatch_id
        self.target = target
        self.organisation = organisation
        self.record = record
        self.opening = opening
        self.link: StreamLink | None = None
        self.sent = opening is None
        self.accepted = False
        self.counted = False
        self.done: wire.Done | None = None
        self.response: wire.Response | None = None
        self.error: WigeonscaleError | None = None
        self._read_count = len(record.texts)
        self._uncredited_tokens = 0
        self._gaps = 0
        self._seal_only = seal_only
        self._seal_pending = seal_only
        self._never_ran: bool | None = None
        self._waiter: asyncio.Future | None = None
        self._sink: Sink | None = None

    @property
    def chain_id(self) -> str:
        """Chain id of a generation that may move to another chain; else empty."""
        if self.opening is None or self.opening.once:
            return ""
        return self.opening.generate.chain.chain_id

    @property
    def is_replaceable(self) -> bool:
        """Whether this entry gains from an early failure while the agent is silent.

        Another agent can do the work, or the time for its start has passed.
        """
        if not self.sent or self._seal_pending:
            return True
        opening = self.opening
        return (
            opening is not None
            and not opening.once
            and opening.WhichOneof("work") == "generate"
        )

    @property
    def ended(self) -> bool:
        """Whether the dispatch has ended."""
        return (
            self.done is not None or self.response is not None or self.error is not None
        )

    @property
    def begun(self) -> bool:
        """Whether the first token or the end has arrived."""
        return self.ended or self.has_unread

    @property
    def has_unread(self) -> bool:
        """Whether there are unread tokens."""
        return len(self.record.texts) > self._read_count

    # ------------------------------------------------------- called by the link

    def requests(self) -> list[wire.DispatchRequest]:
        """Return the messages to send on a new link.

        They open the dispatch unless the agent has accepted it, else attach to it,
        and repeat a pending seal.
        """
        if self._seal_only:
            return [self._seal_request()]
        if self._seal_pending:
            return [self._seal_request(), *self._attach_requests()]
        if self.opening is not None and not self.accepted:
            return [wire.DispatchRequest(open=self.opening)]
        return self._attach_requests()

    def deliver(self, item: wire.DispatchItem) -> None:
        """Process one item from the agent."""
        if self.ended:
            return
        self.accepted = True
        body = item.WhichOneof("body")
        if body == "tokens":
            self._add_tokens(item.tokens)
            if self._sink is not None and not self.ended:
                self._forward()
                return
        elif body == "done":
            self._finish(item.done)
        elif body == "response":
            self.response = item.response
        elif body == "refused":
            self.error = self._refusal_error(item.refused)
        elif body == "sealed":
            self._seal_pending = False
            self._never_ran = item.sealed.never_ran
        self._notify_reader()

    def fail(self, error: WigeonscaleError) -> None:
        """End the dispatch with an error raised by this entry."""
        if not self.ended:
            self.error = error
        self._notify_reader()

    def _add_tokens(self, run: wire.TokenRun) -> None:
        record = self.record
        expected = record.base + len(record.texts)
        start = getattr(run, "from")
        if start > expected:
            self._request_missing(f"token {expected} is missing before {start}")
            return
        known = expected - start
        record.texts += run.texts[known:]
        record.ids += run.ids[known:]

    def _finish(self, done: wire.Done) -> None:
        missing = done.tokens - self.record.next_index
        if missing > 0:
            self._request_missing(f"{missing} last tokens are missing")
        elif missing < 0:
            self.error = self._surplus_error(done)
        else:
            self.done = done

    def _refusal_error(self, refused: wire.Refused) -> WigeonscaleError:
        exc = refusal_error(refused)
        if exc.kind is ErrorKind.NOT_FOUND and self.opening is not None:
            # An agent that does not know a dispatch opened on it has restarted.
            return AgentGoneError(
                f"agent {self.target.agent_id} has restarted",
                run_state=RunState.UNKNOWN,
            )
        return exc

    def _surplus_error(self, done: wire.Done) -> WigeonscaleError:
        beyond_end = not self.record.texts
        return WigeonscaleError(
            ErrorKind.BAD_REQUEST if beyond_end else ErrorKind.INTERNAL,
            f"token index {self.record.next_index} is beyond the {done.tokens} tokens"
            f" of {self.dispatch_id}",
            run_state=RunState.RAN,
        )

    def _request_missing(self, problem: str) -> None:
        self._gaps += 1
        if self._gaps > MAX_GAP_RETRIES:
            self.error = WigeonscaleError(
                ErrorKind.INTERNAL,
                f"{self.dispatch_id}: {problem}",
                run_state=RunState.RAN,
            )
            return
        for request in self._attach_requests():
            self.link.send(request)

    def _attach_requests(self) -> list[wire.DispatchRequest]:
        attach = wire.Attach(
            dispatch_id=self.dispatch_id,
            from_token=self.record.next_index,
            organisation=self.organisation,
        )
        # The agent starts again with the initial credit after an attach.
        self._uncredited_tokens = 0
        return [wire.DispatchRequest(attach=attach)]

    def _seal_request(self) -> wire.DispatchRequest:
        seal = wire.Seal(
            dispatch_id=self.dispatch_id, agent_incarnation=self.target.incarnation
        )
        return wire.DispatchRequest(seal=seal)

    def _notify_reader(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # ----------------------------------------------------- called by the reader

    async def wait_accepted(self) -> None:
        """Wait for the first item from the agent, or the end."""
        while not (self.accepted or self.ended):
            await self._wait()

    async def wait_begun(self) -> None:
        """Wait for the first token or the end."""
        while not self.begun:
            await self._wait()

    async def read(self) -> list[str]:
        """Return the texts of the tokens received since the last call.

        Each call acknowledges the tokens of the call before: the agent gets credit
        for as many more.

        Returns:
            At least one text; an empty list after the last one.

        Raises:
            WigeonscaleError: Error that ended the dispatch, once its tokens are read.
        """
        self._grant_credit()
        while not self.has_unread:
            if self.error is not None:
                raise self.error
            if self.ended:
                return []
            await self._wait()
        return self._read_new()

    def forward_to(self, sink: Sink) -> None:
        """Pass further tokens to a function, without waking the reader.

        Args:
            sink: Called with token texts; returns whether it can accept more right
                away. If not, later tokens wait for :meth:`read` again.
        """
        self._sink = sink
        self._forward()

    def _forward(self) -> None:
        if not self.has_unread:
            # Only known tokens arrived again; writing nothing would end a chunked
            # body.
            return
        if not self._sink(self._read_new()):
            self._sink = None
            return
        self._grant_credit()

    def _read_new(self) -> list[str]:
        texts = self.record.texts
        new = texts[self._read_count :]
        self._read_count = len(texts)
        self._uncredited_tokens += len(new)
        return new

    async def seal(self) -> bool:
        """Ask the agent never to start this dispatch.

        Returns:
            True when it never started and never will; False when it has started.

        Raises:
            AgentGoneError: When the agent cannot be asked.
        """
        if not (self.ended or self._seal_pending) and self._never_ran is None:
            self._seal_pending = True
            self.link.send(self._seal_request())
        while self._never_ran is None and not self.ended:
            await self._wait()
        if self._never_ran is not None:
            return self._never_ran
        if isinstance(self.error, AgentGoneError):
            if self.error.run_state is RunState.NOT_RUN:
                return True
            raise self.error
        return self.error is not None and self.error.run_state is RunState.NOT_RUN

    def cancel(self) -> None:
        """Tell the agent to cancel the work, and detach."""
        if not self.ended:
            cancel = wire.Cancel(dispatch_id=self.dispatch_id)
            self.link.send(wire.DispatchRequest(cancel=cancel))
        self.detach()

    def abort(self, error: WigeonscaleError) -> None:
        """Cancel the work and end the dispatch with an error.

        The reader then moves to another agent or reports the error.
        """
        if not self.ended:
            self.cancel()
            self.fail(error)

    def end_at_limit(self) -> None:
        """End the answer as complete: it has reached its token limit."""
        self.error = None
        self.done = wire.Done(tokens=self.record.next_index, finish_reason="length")

    def detach(self) -> None:
        """Stop receiving items; the agent is not notified."""
        self.link.remove(self)

    def _grant_credit(self) -> None:
        if self._uncredited_tokens < CREDIT_BATCH_TOKENS or self.ended:
            return
        self.link.grant_credit(self.dispatch_id, self._uncredited_tokens)
        self._uncredited_tokens = 0

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
