"""Observes which configuration revision entries and agents apply."""

__all__ = ["RevisionWatch"]

import asyncio
import time

from wigeonscale.membership import ControlClient
from wigeonscale.testing.matrix.checks import RevisionObservation
from wigeonscale.testing.matrix.cluster import Cluster

POLL_INTERVAL_S = 0.05
# Every serving process must have applied what was accepted longer ago than this.
CONFIG_PROPAGATION_S = 4.0


class RevisionWatch:
    """Records every change of the revision that a serving process applies.

    Args:
        cluster: The deployment.

    Attributes:
        observations: Observations in chronological order.
    """

    def __init__(self, *, cluster: Cluster):
        self.observations: list[RevisionObservation] = []
        self._cluster = cluster
        # Keeps references to the clients, so that their ids are not reused.
        self._clients: dict[int, ControlClient] = {}
        self._last: dict[str, RevisionObservation] = {}
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop observing."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            min_revision = self._min_revision()
            for node in [
                *self._cluster.entries.values(),
                *self._cluster.agents.values(),
            ]:
                if node.control is not None and node.control.lease_valid():
                    self._record(node.name, node.control, min_revision)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _min_revision(self) -> int:
        cutoff = time.monotonic() - CONFIG_PROPAGATION_S
        accepted = self._cluster.accepted
        return max((revision for at, revision in accepted if at < cutoff), default=0)

    def _record(self, name: str, client: ControlClient, min_revision: int) -> None:
        self._clients.setdefault(id(client), client)
        process = f"{name}#{id(client)}"
        observation = RevisionObservation(
            process=process, revision=client.revision, min_revision=min_revision
        )
        if self._last.get(process) != observation:
            self._last[process] = observation
            self.observations.append(observation)
