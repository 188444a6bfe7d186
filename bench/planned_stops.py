"""Planned stops of the control leader: write pause, terms, exit codes.

Three control processes run on loopback with their logs on disk. The leader is stopped
by SIGTERM and restarted, twenty times, while changes of the rules document are
submitted one after another. Bounds are on terms and exit codes, and a lost or
duplicated change is an error; times are only reported.
"""

__all__ = ["measure"]

import asyncio
import pathlib
import random
import signal
import statistics
import tempfile
import time

import aiohttp

from bench.report import Figure
from demo.processes import Child, free_ports, start, stop_all
from wigeonscale.membership.submitter import Submitter
from wigeonscale.ports import SystemClock
from wigeonscale.wire import wire_pb2 as wire

STOPS = 20
REPLICAS = 3
WIGEOND = "wigeonscale.cli.wigeond"
TIMEOUT_S = 60.0
POLL_S = 0.02
WRITE_PAUSE_S = 0.005
SETTLE_S = 1.0  # writing continues this long before and after each stop
MS_PER_S = 1000


class ControlGroup:
    """Control processes that replicate one log.

    Args:
        folder: Parent of the settings, logs and data.
    """

    def __init__(self, *, folder: pathlib.Path):
        self._folder = folder
        ports = free_ports(2 * REPLICAS)
        self.grpc = [f"127.0.0.1:{port}" for port in ports[:REPLICAS]]
        self._http = [f"127.0.0.1:{port}" for port in ports[REPLICAS:]]
        self.children: dict[int, Child] = {}

    async def start(self, number: int) -> None:
        """Start one replica from its data folder."""
        peers = ", ".join(f"c{n}@{address}" for n, address in enumerate(self.grpc))
        path = self._folder / f"c{number}.ini"
        path.write_text(
            f"[node]\nname = c{number}\ndomain = d{number}\n"
            f"[control]\ngrpc = {self.grpc[number]}\nhttp = {self._http[number]}\n"
            f"data = {self._folder}/data{number}\npeers = {peers}\n"
        )
        args = ("control", "--config", str(path))
        child = await start(f"c{number}", self._folder, WIGEOND, *args)
        self.children[number] = child

    async def status(self, number: int) -> dict:
        """Return a replica's status; empty if it does not answer."""
        url = f"http://{self._http[number]}/admin/status"
        try:
            async with aiohttp.ClientSession() as http, http.get(url) as answer:
                return await answer.json()
        except aiohttp.ClientError:
            return {}

    async def leader(self) -> tuple[int, int]:
        """Wait until all replicas follow one leader; return its number and term."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                statuses = [await self.status(number) for number in self.children]
                roles = [each.get("role") for each in statuses]
                terms = {each.get("term") for each in statuses}
                if roles.count("leader") == 1 and len(terms) == 1:
                    if all(each["fresh"] for each in statuses):
                        return roles.index("leader"), terms.pop()
                await asyncio.sleep(POLL_S)


class ConfigWriter:
    """Submits changes of the rules document one after another.

    Args:
        addresses: gRPC addresses of the replicas.

    Attributes:
        accepted: Times at which changes were accepted, in monotonic seconds.
    """

    def __init__(self, *, addresses: list[str]):
        self._submitter = Submitter(
            addresses=addresses, clock=SystemClock(), rng=random.Random(1)
        )
        self.accepted: list[float] = []

    async def run(self) -> None:
        """Submit changes until cancelled.

        Raises:
            RuntimeError: A change was lost or applied twice.
        """
        try:
            while True:
                base = len(self.accepted)
                body = wire.ApplyConfig(
                    base_revision=base,
                    document=f"[service s{base}]\n",
                    operator="bench",
                )
                result = await self._submitter.submit(
                    wire.Command(apply_config=body), TIMEOUT_S
                )
                if result.revision != base + 1:
                    raise RuntimeError(
                        f"revision {result.revision} after {base}:"
                        " a change was lost or applied twice"
                    )
                self.accepted.append(time.monotonic())
                await asyncio.sleep(WRITE_PAUSE_S)
        finally:
            await self._submitter.close()

    async def wait_accepted(self, at: float) -> None:
        """Wait until a change has been accepted at or after a time."""
        while not self.accepted or self.accepted[-1] < at:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)

    def longest_pause(self, since: float) -> float:
        """Return the longest time without an accepted change, in seconds."""
        times = [since, *(at for at in self.accepted if at > since)]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


def measure() -> list[Figure]:
    """Stop the leader by SIGTERM ``STOPS`` times.

    Returns:
        Figures; a pause is the longest time without an accepted change, from the
        SIGTERM on.
    """
    pauses, terms, codes = asyncio.run(_run())
    prefix = "planned-stop"
    return [
        Figure(f"{prefix}/pause/median", statistics.median(pauses) * MS_PER_S, "ms"),
        Figure(f"{prefix}/pause/worst", max(pauses) * MS_PER_S, "ms"),
        Figure(f"{prefix}/terms", sum(terms) / STOPS, "per stop", high=1.0),
        Figure(f"{prefix}/failed-exits", sum(map(bool, codes)), "of stops", high=0),
    ]


async def _run():
    with tempfile.TemporaryDirectory() as name:
        group = ControlGroup(folder=pathlib.Path(name))
        for number in range(REPLICAS):
            await group.start(number)
        writer = ConfigWriter(addresses=group.grpc)
        writer_task = asyncio.create_task(writer.run())
        try:
            results = [await _stop_leader(group, writer) for _ in range(STOPS)]
            if writer_task.done():
                writer_task.result()
            return zip(*results, strict=True)
        finally:
            writer_task.cancel()
            await asyncio.gather(writer_task, return_exceptions=True)
            await stop_all(list(group.children.values()))


async def _stop_leader(group, writer):
    """Return the pause in seconds, the number of new terms and the exit code."""
    number, term = await group.leader()
    await asyncio.sleep(SETTLE_S)
    since = time.monotonic()
    child = group.children[number]
    child.proc.send_signal(signal.SIGTERM)
    async with asyncio.timeout(TIMEOUT_S):
        code = await child.proc.wait()
        await writer.wait_accepted(since + SETTLE_S)
    pause = writer.longest_pause(since)
    await group.start(number)
    _, new_term = await group.leader()
    return pause, new_term - term, code
