"""Runs daemons for the measurements, each as a process on loopback."""

__all__ = ["ControlGroup", "agent", "control_group", "engine", "entry"]

import asyncio
import contextlib
import pathlib
import random
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

import aiohttp

from bench.slopes.counted_control import read_count
from bench.slopes.processes import Child, free_ports, start
from wigeonscale.membership.submitter import Submitter
from wigeonscale.ports import SystemClock
from wigeonscale.replication.files import LOG_NAME
from wigeonscale.wire import wire_pb2 as wire

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 60.0
POLL_S = 0.1
SUBMIT_TIMEOUT_S = 60.0
IN_FLIGHT = 64
WIGEOND = "wigeonscale.cli.wigeond"
COUNTED_CONTROL = "bench.slopes.counted_control"


@dataclass(frozen=True, slots=True)
class ControlGroup:
    """Control replicas that replicate one log.

    Attributes:
        folder: Parent of their settings, logs and data.
        replicas: The processes.
        grpc: Their gRPC addresses, in the same order.
        http: Their HTTP addresses, in the same order.
        submitter: Submits commands to the leader.
    """

    folder: pathlib.Path
    replicas: tuple[Child, ...]
    grpc: tuple[str, ...]
    http: tuple[str, ...]
    submitter: Submitter

    async def leader(self) -> int:
        """Wait for a leader and return its index."""
        for _ in range(int(START_TIMEOUT_S / POLL_S)):
            for number in range(len(self.replicas)):
                if (await self.status(number)).get("role") == "leader":
                    return number
            await asyncio.sleep(POLL_S)
        raise TimeoutError("no control replica became the leader")

    def syncs(self, number: int) -> int:
        """Return the number of disk syncs of a replica so far."""
        return read_count(sync_count_file(self.folder, number))

    def log_bytes(self, number: int) -> int:
        """Return the length of a replica's log file in bytes."""
        return (self.folder / f"c{number}-data" / LOG_NAME).stat().st_size

    async def status(self, number: int) -> dict:
        """Return a replica's status."""
        url = f"http://{self.http[number]}/admin/status"
        async with aiohttp.ClientSession() as http, http.get(url) as answer:
            return await answer.json()

    async def apply(self, revision: int, **body) -> None:
        """Commit a change of the rules document that is based on a revision."""
        apply = wire.ApplyConfig(base_revision=revision, operator="bench", **body)
        command = wire.Command(apply_config=apply)
        await self.submitter.submit(command, SUBMIT_TIMEOUT_S)

    async def submit_all(
        self, commands: Iterable[wire.Command], in_flight: int = IN_FLIGHT
    ) -> list[wire.CommandResult]:
        """Commit commands, up to ``in_flight`` concurrently.

        Returns:
            The results in the order of the commands.
        """
        free = asyncio.Semaphore(in_flight)

        async def submit(command):
            try:
                return await self.submitter.submit(command, SUBMIT_TIMEOUT_S)
            finally:
                free.release()

        tasks = []
        for command in commands:
            await free.acquire()
            tasks.append(asyncio.create_task(submit(command)))
        return await asyncio.gather(*tasks)


def sync_count_file(folder: pathlib.Path, number: int) -> pathlib.Path:
    """Return the file in which a replica counts its syncs."""
    return folder / f"c{number}.syncs"


@contextlib.asynccontextmanager
async def control_group(
    folder: pathlib.Path, count: int = 3, **settings: object
) -> AsyncIterator[ControlGroup]:
    """Run control replicas until the block ends.

    Args:
        folder: Parent of their files.
        count: Number of replicas.
        **settings: Additional keys of ``[control]``.
    """
    ports = free_ports(2 * count)
    grpc = tuple(f"{LOOPBACK}:{port}" for port in ports[:count])
    http = tuple(f"{LOOPBACK}:{port}" for port in ports[count:])
    peers = ", ".join(f"c{n}@{address}" for n, address in enumerate(grpc))
    extra = "".join(f"{key} = {value}\n" for key, value in settings.items())
    async with contextlib.AsyncExitStack() as stack:
        replicas = []
        for number in range(count):
            name = f"c{number}"
            text = (
                f"[control]\ngrpc = {grpc[number]}\nhttp = {http[number]}\n"
                f"data = {folder / f'{name}-data'}\npeers = {peers}\n{extra}"
            )
            path = _write_settings(folder, name, text)
            args = (COUNTED_CONTROL, str(sync_count_file(folder, number)), str(path))
            replica = start(folder, name, *args)
            replicas.append(await stack.enter_async_context(replica))
        for address in http:
            await wait_ready(address)
        submitter = Submitter(addresses=grpc, clock=SystemClock(), rng=random.Random(1))
        stack.push_async_callback(submitter.close)
        yield ControlGroup(folder, tuple(replicas), grpc, http, submitter)


@contextlib.asynccontextmanager
async def entry(
    folder: pathlib.Path, name: str, control: Iterable[str]
) -> AsyncIterator[tuple[Child, str]]:
    """Run an entry until the block ends; yields it and its address for callers."""
    listen, http = (f"{LOOPBACK}:{port}" for port in free_ports(2))
    text = (
        f"[entry]\nlisten = {listen}\nhttp = {http}\ncontrol = {', '.join(control)}\n"
    )
    async with contextlib.AsyncExitStack() as stack:
        child = await _daemon(stack, folder, "entry", name, text)
        await wait_ready(http)
        yield child, listen


@contextlib.asynccontextmanager
async def agent(
    folder: pathlib.Path, name: str, control: Iterable[str], backend: str, **settings
) -> AsyncIterator[tuple[Child, str]]:
    """Run an engine's agent until the block ends; yields it and its gRPC address."""
    grpc, http = (f"{LOOPBACK}:{port}" for port in free_ports(2))
    extra = "".join(f"{key} = {value}\n" for key, value in settings.items())
    text = (
        f"[agent]\ngrpc = {grpc}\nhttp = {http}\nkind = engine\n"
        f"backend = http://{backend}\ncontrol = {', '.join(control)}\n{extra}"
    )
    async with contextlib.AsyncExitStack() as stack:
        child = await _daemon(stack, folder, "agent", name, text)
        await wait_ready(http)
        yield child, grpc


@contextlib.asynccontextmanager
async def engine(
    folder: pathlib.Path, name: str, model: str, *args: str
) -> AsyncIterator[tuple[Child, str]]:
    """Run a fake engine until the block ends; yields it and its address."""
    address = f"{LOOPBACK}:{free_ports(1)[0]}"
    module = "wigeonscale.testing.fake_engine"
    options = ("--listen", address, "--model", model, *args)
    async with start(folder, name, module, *options) as child:
        yield child, address


async def wait_ready(http: str) -> None:
    """Wait until a daemon's ``/readyz`` answers 200.

    Raises:
        TimeoutError: The daemon is not ready within ``START_TIMEOUT_S``.
    """
    url = f"http://{http}/readyz"
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(POLL_S)


async def _daemon(stack, folder, role, name, text):
    path = _write_settings(folder, name, text)
    args = (role, "--config", str(path))
    return await stack.enter_async_context(start(folder, name, WIGEOND, *args))


def _write_settings(folder, name, text):
    path = folder / f"{name}.ini"
    path.write_text(f"[node]\nname = {name}\ndomain = d{name[-1]}\n\n{text}")
    return path
