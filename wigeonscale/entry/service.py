"""The state of one entry: what its handlers share."""

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

# A caller that lost its connection may take up its answer for this long; then
# the work is stopped.
RESUME_GRACE_S = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryLimits:
    """Bounds of one entry.

    Attributes:
        default_deadline_s: Deadline of a request that names none, in seconds.
        body_limit_bytes: Largest request body.
        max_streams: Requests in progress at once.
        resume_grace_s: How long work goes on for a caller that vanished, in seconds.
    """

    default_deadline_s: float = 120.0
    body_limit_bytes: int = 1024 * 1024
    max_streams: int = 5000
    resume_grace_s: float = RESUME_GRACE_S


class EntryService:
    """What the handlers of one entry share.

    Args:
        control: Rules, members and lease.
        dispatcher: Brings work to agents.
        links: Connections to agents.
        claims: Claims under way.
        places: Where work can go.
        organisation_limits: Limits per organisation and per rule.
        clock: Clock port.
        recorder: Takes the service levels.
        limits: Bounds of this entry.

    Attributes:
        in_progress: Requests in progress.
        leaving: Whether the balancer shall send no more requests.
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
        """Return whether the balancer may send requests here."""
        return not self.draining and self.control.lease_valid()

    def begin_request(self) -> None:
        """Count a request in, or refuse it.

        Raises:
            WigeonscaleError: ``STOPPING``, ``LEASE_EXPIRED`` or ``OVERLOADED``.
        """
        if self.stopping:
            raise WigeonscaleError(
                ErrorKind.STOPPING, "this entry is stopping", retry_after=1.0
            )
        if not self.control.lease_valid():
            raise WigeonscaleError(
                ErrorKind.LEASE_EXPIRED,
                "this entry has not heard from a majority of control",
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
        """Count a request out."""
        self.in_progress -= 1
        METRICS.open_streams.set(self.in_progress)
        if not self.in_progress:
            self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    def cut(self) -> None:
        """End every answer still in progress by an error that says how to go on."""
        for stream in self._links.streams():
            stream.fail(EntryStoppingError(stream.dispatch_id))

    def reroute_removed_chains(self) -> None:
        """Move generations off chains that were given up, where others stand."""
        chains = self.control.members.chains
        for stream in self._links.streams():
            chain_id = stream.chain_id
            if chain_id and chain_id not in chains and self._has_alternative(stream):
                message = f"chain {chain_id} was given up"
                stream.abort(
                    WigeonscaleError(
                        ErrorKind.STALE_EPOCH, message, run_state=RunState.RAN
                    )
                )

    def _has_alternative(self, stream: DispatchStream) -> bool:
        pipeline = stream.opening.generate.chain.pipeline
        work = Work(organisation=stream.organisation, pipeline=pipeline)
        # Its own head may head the new chain, which has another id.
        return self.selector.choose(work, frozenset()) is not None

    # ------------------------------------------------- callers that have vanished

    def abandon_after_grace(self, answer: Answer) -> None:
        """Stop the work of a vanished caller unless it takes the answer up soon."""
        request_id = answer.request_id
        task = asyncio.create_task(self._abandon(answer))
        self._grace_tasks[request_id] = task
        task.add_done_callback(lambda _: self._grace_tasks.pop(request_id, None))

    def cancel_abandon(self, request_id: str) -> None:
        """Let work go on whose answer is taken up again here."""
        task = self._grace_tasks.get(request_id)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """End the waits for vanished callers, and finish the releases of claims."""
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
