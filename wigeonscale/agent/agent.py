"""The agent: creates and connects its components."""

__all__ = ["Agent"]

import asyncio
import logging
import random
from collections.abc import Callable

import grpc

from wigeonscale.agent.admission import AdmissionController
from wigeonscale.agent.answers import Dispatch
from wigeonscale.agent.backend import BackendState
from wigeonscale.agent.dispatch import DispatchHandler
from wigeonscale.agent.outcomes import OutcomeReporter
from wigeonscale.agent.prefixes import PrefixFeed
from wigeonscale.agent.servicer import AgentServicer
from wigeonscale.agent.table import DispatchTable
from wigeonscale.agent.work import start_call, start_generation
from wigeonscale.config import AgentSettings
from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.membership import Change, ControlClient
from wigeonscale.pipelines.constants import ENTRY_TIMEOUT_S
from wigeonscale.pipelines.head import ChainHead
from wigeonscale.pipelines.links import StepLinks
from wigeonscale.pipelines.stage import StageRunner
from wigeonscale.ports import Clock, Engine, Service
from wigeonscale.wire import wire_pb2 as wire

DEFAULT_CALL_TIMEOUT_S = 30.0
"""Timeout of a call to a plain service that is not in the rules document."""

DRAIN_POLL_INTERVAL_S = 0.05
"""Interval at which a drain checks whether pipeline steps are still in use."""

MAX_MISSED_HEARTBEATS = 6
"""Heartbeat intervals without a message after which an entry is not a live reader."""

STOPPING_GRACE_S = 0.5
"""Time during which a stopping agent still refuses messages in transit as not run.

Without it such a message would be lost with the process and its outcome unknown.
"""

logger = logging.getLogger(__name__)


class Agent:
    """The agent of one backend server.

    Args:
        cfg: Settings of the agent.
        control: Client of control; announces ``state``.
        clock: Clock port.
        state: State of the backend server.
        dial: Returns a new channel to an address.
        engine: The engine, or None if the backend server is a plain service.
        service: The plain service, or None if the backend server is an engine.
        link_options: Additional arguments of :class:`StepLinks`.
    """

    def __init__(
        self,
        *,
        cfg: AgentSettings,
        control: ControlClient,
        clock: Clock,
        state: BackendState,
        dial: Callable[[str], grpc.aio.Channel],
        engine: Engine | None = None,
        service: Service | None = None,
        **link_options: float,
    ):
        self.state = state
        self._cfg = cfg
        self._control = control
        self._clock = clock
        self._service = service
        self._calls: set[asyncio.Task] = set()
        self.links = StepLinks(dial=dial, clock=clock, **link_options)
        self.table = DispatchTable(
            clock=clock, keep_bytes=cfg.keep_answers_bytes, keep_s=cfg.keep_answers_s
        )
        self.outcomes = OutcomeReporter(
            submit=control.submit, clock=clock, on_reported=self.table.history.unpin
        )
        self.dispatch_handler = DispatchHandler(
            agent_id=cfg.name,
            incarnations=state.incarnations,
            table=self.table,
            clock=clock,
            check_new=self._check_new,
            check_begin=self._check_lease,
            begin=self._begin,
            outcomes=self.outcomes,
        )
        self.admission = AdmissionController(
            clock=clock,
            slots=cfg.slots,
            queue_limit=cfg.queue_limit,
            share=self._share,
            begin=self.dispatch_handler.begin,
            expire=self.dispatch_handler.expire,
            rng=random.Random(),
        )
        self.dispatch_handler.admission = self.admission
        self.stage: StageRunner | None = None
        self.head: ChainHead | None = None
        self.prefixes: PrefixFeed | None = None
        if engine is not None:
            self._make_pipeline(engine)
        self.servicer = AgentServicer(
            dispatch_handler=self.dispatch_handler,
            stage=self.stage,
            load=self.current_load,
            clock=clock,
            prefixes=self.prefixes,
            entry_timeout_s=max(
                ENTRY_TIMEOUT_S, MAX_MISSED_HEARTBEATS * cfg.heartbeat_s
            ),
        )
        control.changes.subscribe(self._on_change)

    def current_load(self) -> wire.LoadWord:
        """Return the current load report."""
        return wire.LoadWord(
            running=self.admission.running,
            queued=self.admission.queued,
            slots=self.admission.slots,
            wait_s=self.admission.wait_s(),
            leaving=self.state.leaving,
        )

    def announcement_changed(self) -> None:
        """Publish a change of the backend server's state to control and entries."""
        if self.state.unreachable and self.stage is not None:
            self.stage.abort_engine_calls()
            self.prefixes.reset()
        self._control.announce_changed()
        self.servicer.announce_load()

    async def run(self) -> None:
        """Run until cancelled: enforce deadlines and limits, forward cache events."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.dispatch_handler.sweep())
            if self.prefixes is not None:
                group.create_task(self.prefixes.watch())

    async def stop_accepting(self) -> None:
        """Refuse new work, including messages in transit for ``STOPPING_GRACE_S``."""
        self.state.set_stopping()
        await self._clock.sleep(STOPPING_GRACE_S)

    async def drain(self) -> None:
        """Refuse new work, then wait until the work in progress has finished."""
        self.state.set_stopping()
        await self.dispatch_handler.wait_drained()
        while self.stage is not None and self.stage.recently_used():
            await self._clock.sleep(DRAIN_POLL_INTERVAL_S)
        await self.outcomes.flush()

    async def abort(self) -> None:
        """Abort the work still in progress with an error to its callers."""
        self.dispatch_handler.abort()

    async def close(self) -> None:
        """Cancel all tasks of this agent."""
        if self.head is not None:
            await self.head.close()
        await self.servicer.close()
        if self.stage is not None:
            await self.stage.close()
        await self.links.close()
        await self.outcomes.close()
        for task in self._calls:
            task.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    def _make_pipeline(self, engine: Engine) -> None:
        self.prefixes = PrefixFeed(
            engine=engine, clock=self._clock, poll_s=self._cfg.heartbeat_s
        )
        self.stage = StageRunner(
            agent_id=self._cfg.name,
            incarnations=self.state.incarnations,
            engine=engine,
            loaded=self.state.loaded,
            links=self.links,
            clock=self._clock,
            check_admission=self._check_sequence,
            on_engine_failed=self.state.probe_soon,
        )
        self.head = ChainHead(
            agent_id=self._cfg.name,
            stage=self.stage,
            links=self.links,
            chains=lambda chain_id: self._control.members.chains.get(chain_id),
            replacement=self._replacement_chain,
            suspect=self._control.suspect,
            clock=self._clock,
            repair_timeout_s=self._cfg.repair_timeout_s,
        )

    def _on_change(self, change: Change) -> None:
        if change != Change.MEMBERS or self.stage is None:
            return
        for chain in self._control.members.chains.values():
            if chain.ready:
                self.stage.advance_epoch(chain.chain_id, chain.epoch)
        self.head.members_changed()

    def _replacement_chain(self, removed: wire.Chain) -> wire.Chain | None:
        """Return a ready chain of the same pipeline that this agent heads, or None.

        Its generations would otherwise end with a chain that control could not repair,
        also those that no other agent may continue.
        """
        for chain in self._control.members.chains.values():
            is_head = chain.stages[0].agent_id == self._cfg.name
            is_usable = chain.ready and not chain.retiring
            if is_head and is_usable and chain.pipeline == removed.pipeline:
                return chain
        return None

    def _share(self, organisation: str) -> float:
        known = self._control.document.organisations.get(organisation)
        return known.share if known else 1.0

    def _check_lease(self) -> None:
        if not self._control.lease_valid():
            raise WigeonscaleError(
                ErrorKind.LEASE_EXPIRED,
                f"agent {self._cfg.name} has no valid lease from a majority of control",
                retry_after=self._cfg.lease_s,
            )

    def _check_sequence(self) -> None:
        # A delayed step may arrive long after this agent has stopped taking work.
        self._check_lease()
        self.state.check_sequence()

    def _check_new(self, msg: wire.Open) -> None:
        self.state.check_new()
        self._check_lease()
        if not self.state.is_current(msg.agent_incarnation):
            raise WigeonscaleError(
                ErrorKind.STALE_INCARNATION,
                f"incarnation {msg.agent_incarnation} of {self._cfg.name} has ended",
            )
        is_call = msg.WhichOneof("work") == "call"
        if is_call != (self._service is not None):
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"agent {self._cfg.name} does not support this type of work",
            )
        if not is_call:
            self._check_generate(msg.generate)

    def _check_generate(self, work: wire.Generate) -> None:
        chain = work.chain
        if work.max_tokens <= 0 or not chain.stages:
            raise WigeonscaleError(
                ErrorKind.BAD_REQUEST,
                f"invalid generation: {work.max_tokens} tokens on a chain of"
                f" {len(chain.stages)} stages",
            )
        if chain.stages[0].agent_id != self._cfg.name:
            raise WigeonscaleError(
                ErrorKind.STALE_EPOCH,
                f"the head of the chain is agent {chain.stages[0].agent_id}",
            )
        newest = self._control.members.chains.get(chain.chain_id)
        if newest is not None and newest.epoch > chain.epoch:
            raise WigeonscaleError(
                ErrorKind.STALE_EPOCH,
                f"chain {chain.chain_id} already has epoch {newest.epoch}",
                retry_after=1,
            )
        for stage in chain.stages:
            backend = self._control.members.backends.get(stage.agent_id)
            if backend is not None and backend.draining:
                raise WigeonscaleError(
                    ErrorKind.BACKEND_LEAVING,
                    f"stage {stage.agent_id} of chain {chain.chain_id} is leaving",
                    retry_after=1,
                )

    def _begin(self, dispatch: Dispatch) -> None:
        if dispatch.open.WhichOneof("work") == "call":
            self._begin_call(dispatch)
            return
        work = dispatch.open.generate
        self.prefixes.track_prompt(dispatch.dispatch_id, work.prompt)
        newest = self._control.members.chains.get(work.chain.chain_id)
        usable = newest is not None and newest.ready
        start_generation(
            dispatch,
            chain=newest if usable and newest.epoch > work.chain.epoch else work.chain,
            head=self.head,
            on_token=self.dispatch_handler.add_token,
            on_end=self.dispatch_handler.finish,
            on_failed=self.dispatch_handler.fail,
        )

    def _begin_call(self, dispatch: Dispatch) -> None:
        task = start_call(
            dispatch,
            service=self._service,
            clock=self._clock,
            timeout_s=self._service_timeout_s(),
            on_end=self.dispatch_handler.finish,
            on_failed=self._call_failed,
        )
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _call_failed(self, dispatch: Dispatch, exc: WigeonscaleError) -> None:
        self.dispatch_handler.fail(dispatch, exc)
        # A failed call can mean that the service is unreachable or has crashed.
        self.state.probe_soon()

    def _service_timeout_s(self) -> float:
        known = self._control.document.services.get(self._cfg.service)
        return known.timeout_s if known else DEFAULT_CALL_TIMEOUT_S
