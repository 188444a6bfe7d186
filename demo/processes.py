"""Starts the processes of the demonstration and stops them with SIGTERM."""

__all__ = ["Child", "free_ports", "start", "stop_all"]

import asyncio
import os
import pathlib
import random
import signal
import socket
import sys
from dataclasses import dataclass

STOP_TIMEOUT_S = 40.0

PORT_RANGE = range(15000, 30000)
# Seeded by process id, so that concurrent runs try ports in different orders.
_rng = random.Random(os.getpid())
# Ports returned before. They may look free, since their processes may not listen yet.
_allocated_ports: set[int] = set()


@dataclass(slots=True)
class Child:
    """One child process.

    Attributes:
        name: Name for messages and the stem of the log file.
        proc: The process.
        log: File with standard output and standard error.
        is_fake: Whether the process is a fake of an external system. Fakes may be
            terminated by SIGTERM itself instead of exiting with code 0.
    """

    name: str
    proc: asyncio.subprocess.Process
    log: pathlib.Path
    is_fake: bool


def free_ports(count: int) -> list[int]:
    """Return free TCP ports on loopback that no earlier call returned.

    The ports lie below the ephemeral port range. An outgoing connection could otherwise
    take a port before the process that it is meant for listens on it.

    Args:
        count: Number of ports.

    Returns:
        Port numbers that were free when they were checked.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _rng.choice(PORT_RANGE)
        if port not in _allocated_ports and _is_free(port):
            _allocated_ports.add(port)
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


async def start(name: str, folder: pathlib.Path, module: str, *args: str) -> Child:
    """Start ``python -m module args`` with its output in a log file.

    Args:
        name: Name of the process.
        folder: Folder of the log file.
        module: Module to run.
        *args: Command-line arguments.

    Returns:
        The started process, which may not be ready yet.
    """
    log = folder / f"{name}.log"
    with log.open("wb") as out:
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            stdout=out,
            stderr=out,
            stdin=asyncio.subprocess.DEVNULL,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
    is_fake = module.startswith("wigeonscale.testing.")
    return Child(name=name, proc=proc, log=log, is_fake=is_fake)


async def stop_all(children: list[Child]) -> list[str]:
    """Stop processes one by one with SIGTERM and wait until each has exited.

    Args:
        children: Processes in the order in which they are stopped.

    Returns:
        Name and exit code of each process that had exited before, exited with an
        unexpected code, or had to be killed after ``STOP_TIMEOUT_S``.
    """
    unclean = []
    for child in children:
        if not await _stop(child):
            unclean.append(f"{child.name} (exit code {child.proc.returncode})")
    return unclean


async def _stop(child: Child) -> bool:
    if child.proc.returncode is not None:
        return False
    child.proc.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            code = await child.proc.wait()
    except TimeoutError:
        child.proc.kill()
        await child.proc.wait()
        return False
    return code in (0, -signal.SIGTERM) if child.is_fake else code == 0
