"""Claims of once-only work, committed to the control log before its dispatch."""

__all__ = ["Claims", "Selection", "TargetSelector"]

import asyncio
import logging
from typing import Protocol

from wigeonscale.adapters import log_fields
from wigeonscale.dispatch.failures import AgentGoneError, unknown_outcome_error
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import Target
from wigeonscale.dispatch.transport import DispatchTransport
from wigeonscale.dispatch.work import Work
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

# Another caller's claim can be visible before its dispatch reaches the agent, so an
# attach that finds nothing is retried.
MAX_ATTACH_ATTEMPTS = 3
ATTACH_RETRY_INTERVAL_S = 0.1
# Claim attempts of one request: the first, and one after each release of a claim.
MAX_CLAIMS = 3
# Dispatch id of a claim that only checks whether the key is held.
PROBE_DISPATCH_ID = "none"

# An agent, and the chain that it heads, if any.
Selection = tuple[Target, wire.Chain | None]


class TargetSelector(Protocol):
    """Selects agents among the members known from the control replicas."""

    def choose(self, work: Work, avoid: frozenset[str]) -> Selection | None:
        """Return an agent outside ``avoid`` and the chain it heads, or None."""

    def is_current(self, agent_id: str, incarnation: int) -> bool:
        """Return whether this incarnation of the agent is a member."""


class Submitter(Protocol):
    """Interface of the control client used by :class:`Claims`."""

    async def submit(
        self, command: wire.Command, timeout_s: float = 3.0
    ) -> wire.CommandResult:
        """Commit one command and return its result."""


class Claims:
    """Acquires and releases claims through the control log.

    Args:
        control: Control client.
        transport: Attaches to the dispatches of other claim holders.
        selector: Tells whether a claim holder is still a member.
        clock: Clock port.
    """

    def __init__(
        self,
        *,
        control: Submitter,
        transport: DispatchTransport,
        selector: TargetSelector,
        clock: Clock,
    ):
        self._control = control
        self._transport = transport
        self._selector = selector
        self._clock = clock
        self._releases: dict[tuple[str, str], asyncio.Task] = {}

    async def acquire(
        self, work: Work, dispatch_id: str, target: Target
    ) -> DispatchStream | None:
        """Claim the work's key, or attach to the dispatch that holds it.

        Args:
            work: Work with ``once`` set.
            dispatch_id: Id of the dispatch to be opened.
            target: Agent that will receive it.

        Returns:
            None when the claim is granted, else the holder's dispatch, which has
            begun.

        Raises:
            WigeonscaleError: ``OUTCOME_UNKNOWN``, ``IDEMPOTENCY_KEY_REUSED``,
                ``NO_QUORUM`` and others of the control client and the holder.
        """
        release = self._releases.get((work.organisation, work.key))
        if release is not None:
            await asyncio.wait({release})
        for _ in range(MAX_CLAIMS):
            existing = await self._submit_claim(work, dispatch_id, target)
            if existing is None:
                return None
            stream = await self._attach_to_holder(work, existing)
            if stream is not None:
                return stream
        raise _in_progress_error(work)

    async def check_unclaimed(self, work: Work) -> None:
        """Check that the work's key is not claimed, without claiming it.

        Used when no agent can run the work.

        Args:
            work: Work with ``once`` set.

        Raises:
            WigeonscaleError: State of the work that holds the key.
        """
        no_target = Target("", 0, "")
        try:
            # Control never grants a claim that names no agent.
            existing = await self._submit_claim(work, PROBE_DISPATCH_ID, no_target)
        except WigeonscaleError as exc:
            if exc.kind is ErrorKind.STALE_INCARNATION:
                return
            raise
        if existing is not None:
            raise unknown_outcome_error(
                f"it is unknown whether {existing.claim.dispatch_id} ran"
            )

    def release_in_background(self, work: Work, dispatch_id: str) -> None:
        """Release a claim in a background task.

        If that fails, the claim remains; the next caller with the key finds the
        dispatch sealed and releases the claim then.

        Args:
            work: The work.
            dispatch_id: Dispatch that never ran and never will.
        """
        key = (work.organisation, work.key)
        task = asyncio.create_task(self._try_release(work, dispatch_id))
        self._releases[key] = task
        task.add_done_callback(lambda done: self._forget_release(key, done))

    async def close(self) -> None:
        """Wait for the releases in progress."""
        await asyncio.gather(*self._releases.values(), return_exceptions=True)

    async def _submit_claim(
        self, work: Work, dispatch_id: str, target: Target
    ) -> wire.ClaimRecord | None:
        claim = wire.Claim(
            organisation=work.organisation,
            key=work.key,
            digest=work.digest,
            dispatch_id=dispatch_id,
            agent_id=target.agent_id,
            agent_incarnation=target.incarnation,
            agent_address=target.address,
            request_id=dispatch_id,
        )
        result = await self._control.submit(wire.Command(claim=claim))
        return None if result.granted else result.claim

    async def _release(self, work: Work, dispatch_id: str) -> None:
        outcome = wire.Outcome(
            organisation=work.organisation,
            key=work.key,
            dispatch_id=dispatch_id,
            not_run=True,
        )
        await self._control.submit(wire.Command(outcome=outcome))

    def _forget_release(self, key: tuple[str, str], done: asyncio.Task) -> None:
        if self._releases.get(key) is done:
            del self._releases[key]

    async def _try_release(self, work: Work, dispatch_id: str) -> None:
        try:
            await self._release(work, dispatch_id)
        except WigeonscaleError as exc:
            logger.warning(
                "failed to release claim: %s",
                exc.message,
                extra=log_fields(request_id=dispatch_id, kind=exc.kind),
            )

    async def _attach_to_holder(
        self, work: Work, existing: wire.ClaimRecord
    ) -> DispatchStream | None:
        """Attach to the holder's dispatch; None when its claim was released."""
        claim = existing.claim
        if existing.state == wire.UNKNOWN:
            raise unknown_outcome_error(
                f"it is unknown whether {claim.dispatch_id} ran"
            )
        if not self._selector.is_current(claim.agent_id, claim.agent_incarnation):
            raise unknown_outcome_error(
                f"agent {claim.agent_id}, which held the work, is gone"
            )
        try:
            stream = await self._poll_holder(work, claim)
            if stream is not None:
                return stream
            if not await self._transport.seal(_holder(claim), claim.dispatch_id):
                raise unknown_outcome_error(
                    f"{claim.dispatch_id} has started, but its answer is gone"
                )
        except AgentGoneError as exc:
            raise unknown_outcome_error(f"{exc.message}; it held the work") from exc
        except WigeonscaleError as exc:
            # The agent never ran the work and never will, so the key can be claimed
            # again.
            if exc.run_state is not RunState.NOT_RUN:
                raise
        await self._release(work, claim.dispatch_id)
        return None

    async def _poll_holder(
        self, work: Work, claim: wire.Claim
    ) -> DispatchStream | None:
        """Return the holder's dispatch, or None when its agent does not know it."""
        for _ in range(MAX_ATTACH_ATTEMPTS):
            stream = self._transport.attach(
                _holder(claim), claim.dispatch_id, work.organisation
            )
            try:
                async with asyncio.timeout(work.deadline - self._clock.now()):
                    await self._transport.wait_begun(stream)
                return stream
            except TimeoutError as exc:
                raise _in_progress_error(work) from exc
            except WigeonscaleError as exc:
                if exc.kind is not ErrorKind.NOT_FOUND:
                    raise
            finally:
                if not stream.begun or stream.error is not None:
                    self._transport.drop(stream)
            await self._clock.sleep(ATTACH_RETRY_INTERVAL_S)
        return None


def _in_progress_error(work: Work) -> WigeonscaleError:
    return WigeonscaleError(
        ErrorKind.IN_PROGRESS,
        f"another request with the key {work.key!r} is in progress",
        run_state=RunState.UNKNOWN,
        retry_after=1.0,
    )


def _holder(claim: wire.Claim) -> Target:
    return Target(claim.agent_id, claim.agent_incarnation, claim.agent_address)
