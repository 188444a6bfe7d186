"""Opens, attaches, seals and cancels dispatches, and ends them."""

__all__ = ["Dispatcher"]

import logging
from collections.abc import Callable, Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS, OK, Metrics
from wigeonscale.agent import refusals
from wigeonscale.agent.admission import Admission
from wigeonscale.agent.answers import Dispatch, DispatchState, refused_item
from wigeonscale.agent.outcomes import OutcomeReporter
from wigeonscale.agent.stream import EntryStream
from wigeonscale.agent.table import DispatchTable
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

FULL_RETRY_S = 2.0
SWEEP_S = 0.1

PAUSE_TOKENS = INITIAL_CREDIT_TOKENS
"""Unsent tokens past which a generation pauses while memory is short."""


class Dispatcher:
    """The dispatch table's rules: a dispatch id begins at most once.

    Args:
        agent_id: Name of the own backend server.
        incarnations: Returns the incarnations of this process, newest last.
        table: Holds dispatches and their answers.
        clock: Clock port.
        check_new: Raises when an ``Open`` cannot be admitted now.
        check_begin: Raises when admitted work cannot begin now.
        begin: Starts the work of a dispatch; raises when it cannot run.
        outcomes: Reports the ends of non-idempotent work.
        metrics: Where ends are counted.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        incarnations: Callable[[], Iterable[int]],
        table: DispatchTable,
        clock: Clock,
        check_new: Callable[[wire.Open], None],
        check_begin: Callable[[], None],
        begin: Callable[[Dispatch], None],
        outcomes: OutcomeReporter,
        metrics: Metrics = METRICS,
    ):
        self.admission: Admission | None = None
        self._agent_id = agent_id
        self._incarnations = incarnations
        self._table = table
        self._clock = clock
        self._check_new_work = check_new
        self._check_begin = check_begin
        self._begin_work = begin
        self._outcomes = outcomes
        self._metrics = metrics

    # ------------------------------------------------------------ messages

    def handle(self, req: wire.DispatchRequest, stream: EntryStream) -> None:
        """Handle one message of an entry."""
        handlers = {
            "hello": self._hello,
            "open": self.open,
            "attach": self.attach,
            "cancel": self.cancel,
            "seal": self.seal,
            "credits": lambda msg, s: s.credit(msg.credits),
            "ping": lambda msg, s: s.pong(msg.sent_us),
        }
        body = req.WhichOneof("body")
        if body is None:
            logger.warning("empty message from entry %s", stream.name)
            return
        handlers[body](getattr(req, body), stream)

    def open(self, msg: wire.Open, stream: EntryStream) -> None:
        """Admit a dispatch, or refuse it for good under this id."""
        known = self._table.get(msg.dispatch_id)
        if known is not None:
            self._attach_to(known, msg.organisation, 0, stream)
            return
        try:
            self._check_new(msg)
            dispatch = self._new_dispatch(msg)
        except WigeonscaleError as exc:
            if exc.run_state is RunState.NOT_RUN:
                self._table.never(msg.dispatch_id)
            self._count(exc.kind)
            stream.send(refused_item(msg.dispatch_id, exc))
            return
        self._admit(dispatch, stream)

    def attach(self, msg: wire.Attach, stream: EntryStream) -> None:
        """Let an entry read a dispatch from a token index on."""
        known = self._table.get(msg.dispatch_id)
        if known is None:
            remembered = self._table.memory.state(msg.dispatch_id)
            exc = refusals.not_kept(msg.dispatch_id, remembered)
            stream.send(refused_item(msg.dispatch_id, exc))
            return
        self._attach_to(known, msg.organisation, msg.from_token, stream)

    def cancel(self, msg: wire.Cancel, stream: EntryStream) -> None:
        """Stop a dispatch that its caller gave up, where it may be stopped."""
        stream.detach(msg.dispatch_id)
        dispatch = self._table.get(msg.dispatch_id)
        if dispatch is None or dispatch.end is not None:
            if dispatch is None and self._table.memory.state(msg.dispatch_id) is None:
                self._table.never(msg.dispatch_id)
            return
        if dispatch.is_read:
            # Its caller has come back by another connection or entry, or the reader
            # is an older connection of this entry that has yet to count as silent.
            dispatch.given_up = not dispatch.is_read_by_others(stream.name)
            return
        self._give_up(dispatch)

    def _give_up(self, dispatch: Dispatch) -> None:
        if dispatch.state is DispatchState.RUNNING and dispatch.stop_work is None:
            return
        dispatch.was_taken = True
        self.fail(
            dispatch,
            WigeonscaleError(
                ErrorKind.CANCELLED, "the caller gave up", run_state=dispatch.ran
            ),
        )

    def seal(self, msg: wire.Seal, stream: EntryStream) -> None:
        """Promise that a dispatch never begins, if it has not begun."""
        if msg.agent_incarnation not in self._incarnations():
            exc = refusals.stale_incarnation(self._agent_id, msg.agent_incarnation)
            stream.send(refused_item(msg.dispatch_id, exc))
            return
        never_ran = self._seal(msg.dispatch_id)
        stream.send(
            wire.DispatchItem(
                dispatch_id=msg.dispatch_id, sealed=wire.Sealed(never_ran=never_ran)
            )
        )

    # ---------------------------------------------------------------- ends

    def token(self, dispatch: Dispatch, token: wire.Token) -> None:
        """Take a token of a running generation."""
        if dispatch.end is None:
            self._table.produced(dispatch, token)

    def finish(self, dispatch: Dispatch, item: wire.DispatchItem) -> None:
        """End a dispatch with its whole answer."""
        if dispatch.end is None:
            self._end(dispatch, item, wire.RAN, OK)

    def fail(self, dispatch: Dispatch, exc: WigeonscaleError) -> None:
        """End a dispatch by an error; stops its work."""
        if dispatch.end is not None:
            return
        if self.admission.remove(dispatch):
            exc.run_state = RunState.NOT_RUN
        elif dispatch.state is DispatchState.RUNNING and dispatch.stop_work:
            dispatch.stop_work()
        item = refused_item(dispatch.dispatch_id, exc)
        state = wire.UNKNOWN if exc.run_state is RunState.UNKNOWN else wire.FAILED
        self._end(dispatch, item, state, exc.kind, exc.run_state is RunState.NOT_RUN)

    def begin(self, dispatch: Dispatch) -> None:
        """Begin the work of a dispatch whose turn has come."""
        try:
            if dispatch.late(self._clock.now()):
                raise refusals.late(dispatch)
            self._check_begin()
            dispatch.state = DispatchState.RUNNING
            if dispatch.open.once and dispatch.open.claim_key:
                self._table.memory.await_report(dispatch.dispatch_id)
            self._begin_work(dispatch)
        except WigeonscaleError as exc:
            dispatch.state = DispatchState.QUEUED
            self.fail(dispatch, exc)
            # The slot was counted, but fail() saw a dispatch that never ran.
            self.admission.release()

    def expire(self, dispatch: Dispatch) -> None:
        """End a dispatch whose deadline has passed."""
        self.fail(dispatch, refusals.late(dispatch))

    async def sweep(self) -> None:
        """Enforce deadlines and the bounds of the table, for ever."""
        while True:
            await self._clock.sleep(SWEEP_S)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Enforce deadlines and the bounds of the table."""
        now = self._clock.now()
        for dispatch in self._table.live():
            cannot_stop = dispatch.state is DispatchState.RUNNING and (
                dispatch.stop_work is None
            )
            if dispatch.late(now) and not cannot_stop:
                self.expire(dispatch)
            elif dispatch.given_up and dispatch.readers and not dispatch.is_read:
                self._give_up(dispatch)
            elif dispatch.set_paused is not None:
                unsent = dispatch.produced - dispatch.sent
                dispatch.set_paused(self._table.is_full and unsent > PAUSE_TOKENS)
        self.admission.fill()
        self._table.sweep()
        self._metrics.running.set(self.admission.running)
        self._metrics.queued.set(self.admission.queued)

    async def drained(self) -> None:
        """Wait until no dispatch is open and no answer waits to be taken."""
        while self._table.live() or self._table.untaken():
            await self._clock.sleep(SWEEP_S)

    def cut(self) -> None:
        """End every open dispatch because the process stops now."""
        # Those that wait go first, or a freed slot would begin them.
        live = self._table.live()
        live.sort(key=lambda dispatch: dispatch.state is DispatchState.RUNNING)
        for dispatch in live:
            exc = WigeonscaleError(
                ErrorKind.STOPPING,
                f"agent {self._agent_id} stopped before the end",
                run_state=dispatch.ran,
            )
            self.fail(dispatch, exc)

    # ------------------------------------------------------------- helpers

    def _hello(self, msg: wire.EntryHello, stream: EntryStream) -> None:
        stream.name = msg.entry_id
        stream.wake()

    def _check_new(self, msg: wire.Open) -> None:
        if not msg.dispatch_id or msg.WhichOneof("work") is None:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST, f"dispatch {msg.dispatch_id!r} names no work"
            )
        remembered = self._table.memory.state(msg.dispatch_id)
        if remembered is not None:
            raise refusals.not_kept(msg.dispatch_id, remembered)
        if msg.agent_incarnation not in self._incarnations():
            raise refusals.stale_incarnation(self._agent_id, msg.agent_incarnation)
        self._check_new_work(msg)
        if self._table.is_full:
            raise WigeonscaleError(
                ErrorKind.OVERLOADED,
                "the kept answers take all their bytes",
                retry_after=FULL_RETRY_S,
            )
        deadline_s = msg.deadline_ms / 1000 if msg.deadline_ms else None
        self.admission.check(msg.organisation, msg.priority, deadline_s)

    def _new_dispatch(self, msg: wire.Open) -> Dispatch:
        deadline = None
        if msg.deadline_ms:
            deadline = self._clock.now() + msg.deadline_ms / 1000
        return Dispatch(
            open=msg, deadline=deadline, first_index=len(msg.generate.prefix)
        )

    def _admit(self, dispatch: Dispatch, stream: EntryStream) -> None:
        self._table.add(dispatch)
        reader = stream.attach(dispatch, dispatch.first_index)
        try:
            queued_before = self.admission.push(dispatch)
        except WigeonscaleError as exc:
            self.fail(dispatch, exc)
            return
        if dispatch.end is None or dispatch.end.WhichOneof("body") != "refused":
            accepted = wire.Accepted(queued_before=queued_before)
            reader.notices.append(
                wire.DispatchItem(dispatch_id=dispatch.dispatch_id, accepted=accepted)
            )

    def _attach_to(
        self, dispatch: Dispatch, organisation: str, index: int, stream: EntryStream
    ) -> None:
        if organisation != dispatch.organisation:
            exc = refusals.not_kept(dispatch.dispatch_id, None)
            stream.send(refused_item(dispatch.dispatch_id, exc))
            return
        reader = stream.attach(dispatch, index)
        dispatch.given_up = False
        if dispatch.end is None:
            reader.notices.append(
                wire.DispatchItem(
                    dispatch_id=dispatch.dispatch_id, accepted=wire.Accepted()
                )
            )

    def _seal(self, dispatch_id: str) -> bool:
        dispatch = self._table.get(dispatch_id)
        if dispatch is not None and dispatch.state is DispatchState.QUEUED:
            self.fail(
                dispatch, WigeonscaleError(ErrorKind.CANCELLED, "the entry sealed it")
            )
            return True
        remembered = self._table.memory.state(dispatch_id)
        if dispatch is None and remembered is None:
            if self._table.memory.forgot_early:
                return False
            self._table.never(dispatch_id)
            return True
        return remembered is RunState.NOT_RUN

    def _end(
        self,
        dispatch: Dispatch,
        item: wire.DispatchItem,
        state: wire.ClaimState,
        kind: str,
        not_run: bool = False,
    ) -> None:
        was_running = dispatch.state is DispatchState.RUNNING
        if not_run:
            # A service that could not be reached never began.
            dispatch.state = DispatchState.QUEUED
        self._table.end(dispatch, item)
        self._count(kind)
        if dispatch.open.once and dispatch.open.claim_key:
            self._report(dispatch, state, not_run)
        logger.info(
            "dispatch ended",
            extra=log_fields(
                request_id=dispatch.open.request_id,
                organisation=dispatch.organisation,
                kind="" if kind == OK else kind,
                outcome=item.WhichOneof("body"),
                tokens=dispatch.produced,
            ),
        )
        if was_running:
            self.admission.finished(dispatch)

    def _report(self, dispatch: Dispatch, state: wire.ClaimState, not_run: bool):
        self._table.memory.await_report(dispatch.dispatch_id)
        self._outcomes.report(
            wire.Outcome(
                organisation=dispatch.organisation,
                key=dispatch.open.claim_key,
                dispatch_id=dispatch.dispatch_id,
                not_run=not_run,
                state=wire.CLAIM_STATE_UNSPECIFIED if not_run else state,
            )
        )

    def _count(self, kind: str) -> None:
        self._metrics.dispatches.add(kind=kind)
