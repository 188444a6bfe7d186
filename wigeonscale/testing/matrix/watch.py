"""Watches which configuration is in force at entries and agents."""

__all__ = ["RevisionWatch"]

import asyncio
import time

from wigeonscale.membership import ControlClient
from wigeonscale.testing.matrix.checks import RevisionSeen
from wigeonscale.testing.matrix.cluster import Cluster

LOOK_S = 0.05
# What was accepted longer ago than this is in force wherever something serves.
IN_FORCE_S = 4.0


class RevisionWatch:
    """Notes every change of the revision by which a process serves.

    Args:
        cluster: The deployment.

    Attributes:
        seen: What was seen, in the order of time.
    """

    def __init__(self, *, cluster: Cluster):
        self.seen: list[RevisionSeen] = []
        self._cluster = cluster
        # Holds the clients, so that no two have the same id.
        self._clients: dict[int, ControlClient] = {}
        self._last: dict[str, RevisionSeen] = {}
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """End the watch."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            due = self._due()
            for node in [
                *self._cluster.entries.values(),
                *self._cluster.agents.values(),
            ]:
                if node.control is not None and node.control.lease_valid():
                    self._note(node.name, node.control, due)
            await asyncio.sleep(LOOK_S)

    def _due(self) -> int:
        before = time.monotonic() - IN_FORCE_S
        accepted = self._cluster.accepted
        return max((revision for at, revision in accepted if at < before), default=0)

    def _note(self, name: str, client: ControlClient, due: int) -> None:
        self._clients.setdefault(id(client), client)
        process = f"{name}#{id(client)}"
        moment = RevisionSeen(process=process, revision=client.revision, due=due)
        if self._last.get(process) != moment:
            self._last[process] = moment
            self.seen.append(moment)
