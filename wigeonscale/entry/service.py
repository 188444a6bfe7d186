"""State of one entry that is shared by its request handlers."""

__all__ = ["EntryLimits", "EntryService"]

import asyncio
from dataclasses import dataclass

from wigeonscale.adapters import METRICS
from wigeonscale.dispatch import (
    AgentLinks,
    Answer,
    Claims,
    Dispatcher,
    DispatchStream,
    Work,
)
from wigeonscale.dispatch.failures import EntryStoppingError
from wigeonscale.entry.member_selector import MemberSelector
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.limits import OrganisationLimits
from wigeonscale.membership import ControlClient
from wigeonscale.ports import Clock
from wigeonscale.reports import BurnRecorder

# Time for which a disconnected caller can resume its answer before the work is
# cancelled.
RESUME_GRACE_S = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryLimits:
    """Limits of one entry.

    Attributes:
        default_deadline_s: Deadline of a request without its own, in seconds.
        body_limit_bytes: Maximum size of a request body.
        max_streams: Maximum number of requests in progress.
        resume_grace_s: Time for which work continues after its caller has
            disconnected, in seconds.
    """

    default_deadline_s: float = 120.0
    body_limit_bytes: int = 1024 * 1024
    max_streams: int = 5000
    resume_grace_s: float = RESUME_GRACE_S


class EntryService:
    """State and operations shared by the request handlers of one entry.

    Args:
        control: Provides rules, members and lease.
        dispatcher: Dispatches work to agents.
        links: Connections to agents.
        claims: Claims on idempotency keys.
        selector: Selects agents for work.
        organisation_limits: Limits per organisation and per rule.
        clock: Clock port.
        recorder: Receives the service level indicators.
        limits: Limits of this entry.

    Attributes:
        in_progress: Number of requests in progress.
        draining: Whether the load balancer should send no more requests.
        stopping: Whether new requests are refused.
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        dispatcher: Dispatcher,
        links: AgentLinks,
        claims: Claims,
        selector: MemberSelector,
        organisation_limits: OrganisationLimits,
        clock: Clock,
        recorder: BurnRecorder,
        limits: EntryLimits | None = None,
    ):
        self.control = control
        self.dispatcher = dispatcher
        self.selector = selector
        self.organisation_limits = organisation_limits
        self.clock = clock
        self.recorder = recorder
        self.limits = limits or EntryLimits()
        self.in_progress = 0
        self.draining = False
        self.stopping = False
        self._links = links
        self._claims = claims
        self._idle = asyncio.Event()
        self._idle.set()
        self._grace_tasks: dict[str, asyncio.Task] = {}

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this entry."""
        return not self.draining and self.control.lease_valid()

    def begin_request(self) -> None:
        """Count a new request in progress, or refuse it.

        Raises:
            WigeonscaleError: ``STOPPING``, ``LEASE_EXPIRED`` or ``OVERLOADED``.
        """
        if self.stopping:
            raise WigeonscaleError(
                ErrorKind.STOPPING, "this entry is shutting down", retry_after=1.0
            )
        if not self.control.lease_valid():
            raise WigeonscaleError(
                ErrorKind.LEASE_EXPIRED,
                "this entry has no valid lease from a majority of control",
                retry_after=1.0,
            )
        if self.in_progress >= self.limits.max_streams:
            raise WigeonscaleError(
                ErrorKind.OVERLOADED,
                f"this entry has {self.in_progress} requests in progress",
                retry_after=1.0,
            )
        self.in_progress += 1
        self._idle.clear()
        METRICS.open_streams.set(self.in_progress)

    def end_request(self) -> None:
        """Remove a finished request from the requests in progress."""
        self.in_progress -= 1
        METRICS.open_streams.set(self.in_progress)
        if not self.in_progress:
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    def abort(self) -> None:
        """Abort all answers in progress with an error that explains how to resume."""
        for stream in self._links.streams():
            stream.fail(EntryStoppingError(stream.dispatch_id))

    def reroute_removed_chains(self) -> None:
        """Move generations from removed chains to another chain, if there is one."""
        chains = self.control.members.chains
        for stream in self._links.streams():
            chain_id = stream.chain_id
            if chain_id and chain_id not in chains and self._has_alternative(stream):
                message = f"chain {chain_id} was removed"
                stream.abort(
                    WigeonscaleError(
                        ErrorKind.STALE_EPOCH, message, run_state=RunState.RAN
                    )
                )

    def _has_alternative(self, stream: DispatchStream) -> bool:
        pipeline = stream.opening.generate.chain.pipeline
        work = Work(organisation=stream.organisation, pipeline=pipeline)
        # The stream's own agent is not excluded: it may also be the head of the
        # replacement chain, which has another id.
        return self.selector.choose(work, frozenset()) is not None

    # ------------------------------------------------------- disconnected callers

    def abandon_after_grace(self, answer: Answer) -> None:
        """Cancel the work of a disconnected caller unless it resumes in time."""
        request_id = answer.request_id
        task = asyncio.create_task(self._abandon(answer))
        self._grace_tasks[request_id] = task
        task.add_done_callback(lambda _: self._grace_tasks.pop(request_id, None))

    def cancel_abandon(self, request_id: str) -> None:
        """Keep work running because its caller has resumed the answer here."""
        task = self._grace_tasks.get(request_id)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Stop waiting for disconnected callers, release claims, close connections."""
        tasks = list(self._grace_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._claims.close()
        await self._links.close()

    async def _abandon(self, answer: Answer) -> None:
        try:
            await self.clock.sleep(self.limits.resume_grace_s)
        except asyncio.CancelledError:
            answer.close()
            raise
        answer.abandon()
