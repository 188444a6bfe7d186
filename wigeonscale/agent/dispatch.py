"""The agent's side of the dispatch protocol: open, attach, cancel, seal and end."""

__all__ = ["DispatchHandler"]

import logging
from collections.abc import Callable, Iterable

from wigeonscale.adapters.logs import log_fields
from wigeonscale.adapters.metrics import METRICS, OK, Metrics
from wigeonscale.agent import refusals
from wigeonscale.agent.admission import AdmissionController
from wigeonscale.agent.answers import Dispatch, DispatchState, refused_item
from wigeonscale.agent.outcomes import OutcomeReporter
from wigeonscale.agent.stream import EntryStream
from wigeonscale.agent.table import DispatchTable
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.pipelines.constants import INITIAL_CREDIT_TOKENS
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

TABLE_FULL_RETRY_AFTER_S = 2.0
"""Retry time given to entries while the memory for kept answers is full."""

SWEEP_INTERVAL_S = 0.1
"""Interval at which deadlines and limits are enforced."""

MAX_UNSENT_TOKENS = INITIAL_CREDIT_TOKENS
"""Unsent tokens above which a generation pauses while the table is full."""


class DispatchHandler:
    """Handles dispatch messages; the work of a dispatch id starts at most once.

    Args:
        agent_id: Name of this agent.
        incarnations: Returns the incarnations of this process, newest last.
        table: Holds dispatches and their answers.
        clock: Clock port.
        check_new: Raises if an ``Open`` cannot be admitted now.
        check_begin: Raises if admitted work cannot start now.
        begin: Starts the work of a dispatch; raises if it cannot run.
        outcomes: Reports the outcomes of non-idempotent work.
        metrics: Counts ended dispatches.

    Attributes:
        admission: Queue and slots of the backend server; set after construction.
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
        self.admission: AdmissionController | None = None
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
        """Handle one message from an entry."""
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
        """Admit a dispatch, or refuse its id permanently."""
        known = self._table.get(msg.dispatch_id)
        if known is not None:
            self._attach_to(known, msg.organisation, 0, stream)
            return
        try:
            self._check_new(msg)
            dispatch = self._new_dispatch(msg)
        except WigeonscaleError as exc:
            if exc.run_state is RunState.NOT_RUN:
                self._table.record_not_run(msg.dispatch_id)
            self._count_end(exc.kind)
            stream.send(refused_item(msg.dispatch_id, exc))
            return
        self._admit(dispatch, stream)

    def attach(self, msg: wire.Attach, stream: EntryStream) -> None:
        """Attach an entry as a reader of a dispatch from a token index on."""
        known = self._table.get(msg.dispatch_id)
        if known is None:
            known_state = self._table.history.state(msg.dispatch_id)
            exc = refusals.answer_unavailable(msg.dispatch_id, known_state)
            stream.send(refused_item(msg.dispatch_id, exc))
            return
        self._attach_to(known, msg.organisation, msg.from_token, stream)

    def cancel(self, msg: wire.Cancel, stream: EntryStream) -> None:
        """Stop a dispatch that its caller has cancelled, if it can be stopped."""
        stream.detach(msg.dispatch_id)
        dispatch = self._table.get(msg.dispatch_id)
        if dispatch is None or dispatch.end is not None:
            if dispatch is None and self._table.history.state(msg.dispatch_id) is None:
                self._table.record_not_run(msg.dispatch_id)
            return
        if dispatch.has_live_reader:
            # Either the caller has reconnected through another connection or entry,
            # or the reader is an older connection of this entry that has not yet
            # timed out. In the second case the sweep cancels it after the timeout.
            dispatch.cancel_requested = not dispatch.has_other_live_reader(stream.name)
            return
        self._cancel(dispatch)

    def _cancel(self, dispatch: Dispatch) -> None:
        if dispatch.state is DispatchState.RUNNING and dispatch.stop_work is None:
            return
        dispatch.was_delivered = True
        self.fail(
            dispatch,
            WigeonscaleError(
                ErrorKind.CANCELLED,
                "the caller cancelled the request",
                run_state=dispatch.run_state,
            ),
        )

    def seal(self, msg: wire.Seal, stream: EntryStream) -> None:
        """Guarantee that a dispatch never starts, unless it has already started."""
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

    def add_token(self, dispatch: Dispatch, token: wire.Token) -> None:
        """Append a token of a running generation to its answer."""
        if dispatch.end is None:
            self._table.append_token(dispatch, token)

    def finish(self, dispatch: Dispatch, item: wire.DispatchItem) -> None:
        """End a dispatch whose answer is complete."""
        if dispatch.end is None:
            self._end(dispatch, item, wire.RAN, OK)

    def fail(self, dispatch: Dispatch, exc: WigeonscaleError) -> None:
        """End a dispatch with an error and stop its work."""
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
        """Start the work of a dispatch that was given a slot."""
        try:
            if dispatch.deadline_exceeded(self._clock.now()):
                raise refusals.deadline_exceeded(dispatch)
            self._check_begin()
            dispatch.state = DispatchState.RUNNING
            if dispatch.open.once and dispatch.open.claim_key:
                self._table.history.pin(dispatch.dispatch_id)
            self._begin_work(dispatch)
        except WigeonscaleError as exc:
            dispatch.state = DispatchState.QUEUED
            self.fail(dispatch, exc)
            # The slot was taken before this call. fail() does not release it because
            # the dispatch is marked as not running.
            self.admission.release()

    def expire(self, dispatch: Dispatch) -> None:
        """End a dispatch whose deadline has passed."""
        self.fail(dispatch, refusals.deadline_exceeded(dispatch))

    async def sweep(self) -> None:
        """Enforce deadlines and the limits of the table until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_INTERVAL_S)
            self.sweep_once()

    def sweep_once(self) -> None:
        """Enforce deadlines and the limits of the table once."""
        now = self._clock.now()
        for dispatch in self._table.live():
            cannot_stop = dispatch.state is DispatchState.RUNNING and (
                dispatch.stop_work is None
            )
            if dispatch.deadline_exceeded(now) and not cannot_stop:
                self.expire(dispatch)
            elif (
                dispatch.cancel_requested
                and dispatch.readers
                and not dispatch.has_live_reader
            ):
                self._cancel(dispatch)
            elif dispatch.set_paused is not None:
                unsent = dispatch.produced - dispatch.sent
                dispatch.set_paused(self._table.is_full and unsent > MAX_UNSENT_TOKENS)
        self.admission.start_queued()
        self._table.sweep()
        self._metrics.running.set(self.admission.running)
        self._metrics.queued.set(self.admission.queued)

    async def wait_drained(self) -> None:
        """Wait until no dispatch is open and all answers have been delivered."""
        while self._table.live() or self._table.undelivered():
            await self._clock.sleep(SWEEP_INTERVAL_S)

    def abort(self) -> None:
        """Abort all open dispatches because the process is stopping."""
        # Queued dispatches first: a slot freed by a running one would start them.
        live = self._table.live()
        live.sort(key=lambda dispatch: dispatch.state is DispatchState.RUNNING)
        for dispatch in live:
            exc = WigeonscaleError(
                ErrorKind.STOPPING,
                f"agent {self._agent_id} stopped before the dispatch ended",
                run_state=dispatch.run_state,
            )
            self.fail(dispatch, exc)

    # ------------------------------------------------------------- helpers

    def _hello(self, msg: wire.EntryHello, stream: EntryStream) -> None:
        stream.name = msg.entry_id
        stream.wake()

    def _check_new(self, msg: wire.Open) -> None:
        if not msg.dispatch_id or msg.WhichOneof("work") is None:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"dispatch {msg.dispatch_id!r} has no id or no work",
            )
        known_state = self._table.history.state(msg.dispatch_id)
        if known_state is not None:
            raise refusals.answer_unavailable(msg.dispatch_id, known_state)
        if msg.agent_incarnation not in self._incarnations():
            raise refusals.stale_incarnation(self._agent_id, msg.agent_incarnation)
        self._check_new_work(msg)
        if self._table.is_full:
            raise WigeonscaleError(
                ErrorKind.OVERLOADED,
                "the memory for kept answers is full",
                retry_after=TABLE_FULL_RETRY_AFTER_S,
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
            exc = refusals.answer_unavailable(dispatch.dispatch_id, None)
            stream.send(refused_item(dispatch.dispatch_id, exc))
            return
        reader = stream.attach(dispatch, index)
        dispatch.cancel_requested = False
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
                dispatch,
                WigeonscaleError(ErrorKind.CANCELLED, "the entry sealed the dispatch"),
            )
            return True
        known_state = self._table.history.state(dispatch_id)
        if dispatch is None and known_state is None:
            if self._table.history.evicted_early:
                return False
            self._table.record_not_run(dispatch_id)
            return True
        return known_state is RunState.NOT_RUN

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
            # For example a call whose service could not be reached.
            dispatch.state = DispatchState.QUEUED
        self._table.end(dispatch, item)
        self._count_end(kind)
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
        self._table.history.pin(dispatch.dispatch_id)
        self._outcomes.report(
            wire.Outcome(
                organisation=dispatch.organisation,
                key=dispatch.open.claim_key,
                dispatch_id=dispatch.dispatch_id,
                not_run=not_run,
                state=wire.CLAIM_STATE_UNSPECIFIED if not_run else state,
            )
        )

    def _count_end(self, kind: str) -> None:
        self._metrics.dispatches.add(kind=kind)
