"""Protection of backend servers against requests that crash them.

Known crashing requests are refused. Suspected ones are started on separate agents, so
that a crash can be attributed to one of them.
"""

__all__ = ["CrashGuard"]

import logging
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from wigeonscale.adapters import log_fields
from wigeonscale.crashes import CrashTracker, crash_refusal, wait_for_trial
from wigeonscale.dispatch.failures import AgentGoneError
from wigeonscale.dispatch.targets import Target
from wigeonscale.dispatch.work import Work
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)


class CrashGuard:
    """Applies and updates this entry's record of crashing requests.

    Args:
        tracker: Crashes known to this entry.
        servers: Returns the ids of the current backend server instances of the given
            agents.
    """

    def __init__(
        self,
        *,
        tracker: CrashTracker,
        servers: Callable[[Iterable[str]], tuple[str, ...]],
    ):
        self.tracker = tracker
        self._servers = servers
        # Agents on which suspects wait for their first token, by fingerprint.
        self._starting_at: dict[bytes, set[str]] = {}

    def refusal(self, work: Work) -> WigeonscaleError | None:
        """Return the error if work must not be dispatched, else None."""
        return crash_refusal(self.tracker, work.fingerprint, parts=work.part_keys)

    async def wait_for_trial(self, work: Work) -> None:
        """Wait for control's answer if refused work may be dispatched as a trial."""
        await wait_for_trial(self.tracker, work.fingerprint, work.part_keys)

    def agents_of_other_suspects(self, work: Work) -> frozenset[str]:
        """Return the agents on which other suspects start, if this is a suspect."""
        if not self.tracker.is_suspect(work.fingerprint):
            return frozenset()
        return frozenset(
            agent_id
            for fingerprint, agent_ids in self._starting_at.items()
            if fingerprint != work.fingerprint
            for agent_id in agent_ids
        )

    @contextmanager
    def track_start(
        self, work: Work, target: Target, chain: wire.Chain | None
    ) -> Iterator[None]:
        """Track a dispatch until its answer has begun, and record lost backend servers.

        Args:
            work: The work.
            target: Agent that receives it.
            chain: Chain headed by the agent; None for a call.
        """
        agent_ids = {target.agent_id}
        if chain is not None:
            agent_ids = {stage.agent_id for stage in chain.stages}
        servers = self._servers(sorted(agent_ids))
        target_servers = self._servers([target.agent_id])
        self.tracker.note_sent(work.fingerprint, work.part_keys)
        is_suspect = self.tracker.is_suspect(work.fingerprint)
        if is_suspect:
            self._starting_at.setdefault(work.fingerprint, set()).update(agent_ids)
        try:
            yield
        except WigeonscaleError as exc:
            if exc.kind is ErrorKind.BACKEND_FAILED:
                # An unreachable agent says nothing about the other stages.
                is_gone = isinstance(exc, AgentGoneError)
                self._note_lost(work, target_servers if is_gone else servers, exc)
            raise
        finally:
            if is_suspect:
                self._starting_at.pop(work.fingerprint, None)

    def clear_suspect(self, work: Work) -> None:
        """Record that work was answered completely."""
        self.tracker.clear_suspect(work.fingerprint, work.part_keys)

    def _note_lost(
        self, work: Work, servers: Iterable[str], exc: WigeonscaleError
    ) -> None:
        if exc.run_state is RunState.NOT_RUN:
            self.tracker.note_not_run(work.part_keys)
            return
        # Instances that turn out to be still running are removed from the record later.
        lost = [
            name
            for name in servers
            if self.tracker.note_aborted_start(work.fingerprint, name, work.part_keys)
        ]
        logger.info(
            "backend server failed before the first token",
            extra=log_fields(fingerprint=work.fingerprint.hex(), backends=lost),
        )
