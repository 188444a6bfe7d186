"""Starts the demonstration's processes and stops them by SIGTERM."""

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
# Two runs at once shall not try the same ports in the same order.
_rng = random.Random(os.getpid())
# Ports already handed out; their users may not listen on them yet.
_allocated_ports: set[int] = set()


@dataclass(slots=True)
class Child:
    """One started process.

    Attributes:
        name: Name used in messages and as the stem of its log file.
        proc: The process.
        log: File that holds its standard output and error.
        is_fake: Whether it stands in for an outside system; those end by the
            signal itself.
    """

    name: str
    proc: asyncio.subprocess.Process
    log: pathlib.Path
    is_fake: bool


def free_ports(count: int) -> list[int]:
    """Return free TCP ports on loopback that no earlier call returned.

    The ports lie below those that the system gives to outgoing connections, one
    of which could otherwise take a port before its user listens.

    Args:
        count: How many ports.

    Returns:
        Port numbers that were free a moment ago.
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
        The started process.
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
    """Stop processes by SIGTERM, in the given order, and wait for their end.

    Args:
        children: The processes to stop.

    Returns:
        Names of those that had ended before, ended with another code than 0 or
        had to be killed.
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
