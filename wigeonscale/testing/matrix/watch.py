"""Watches which configuration is in force at entries and agents."""

__all__ = ["RevisionWatch"]

import asyncio
import time

from wigeonscale.membership import ControlClient
from wigeonscale.testing.matrix.checks import RevisionObservation
from wigeonscale.testing.matrix.cluster import Cluster

POLL_INTERVAL_S = 0.05
# What was accepted longer ago than this is in force wherever something serves.
CONFIG_PROPAGATION_S = 4.0


class RevisionWatch:
    """Notes every change of the revision by which a process serves.

    Args:
        cluster: The deployment.

    Attributes:
        seen: What was seen, in the order of time.
    """

    def __init__(self, *, cluster: Cluster):
        self.observations: list[RevisionObservation] = []
        self._cluster = cluster
        # Holds the clients, so that no two have the same id.
        self._clients: dict[int, ControlClient] = {}
        self._last: dict[str, RevisionObservation] = {}
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the watch."""
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
