"""Child processes and their processor time and memory, read from ``/proc``."""

__all__ = [
    "Child",
    "CpuUse",
    "Usage",
    "free_ports",
    "measure_cpu",
    "resident_kb",
    "run_folder",
    "start",
    "start_driver",
]

import asyncio
import contextlib
import json
import os
import pathlib
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Mapping
from dataclasses import dataclass

from demo.processes import free_ports

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT_S = 20.0
LINE_LIMIT = 1 << 20
LOG_TAIL = 2_000


@dataclass(frozen=True, slots=True)
class Usage:
    """Resources that a process has used so far.

    Attributes:
        cpu_s: Processor seconds, user and system.
        rss_mb: Resident memory in MB.
        peak_mb: Peak resident memory in MB since the start.
    """

    cpu_s: float
    rss_mb: float
    peak_mb: float


@dataclass(frozen=True, slots=True)
class Child:
    """A process that this benchmark started."""

    name: str
    proc: asyncio.subprocess.Process
    log: pathlib.Path

    def usage(self) -> Usage:
        """Return the resources that the process has used so far."""
        stat = pathlib.Path(f"/proc/{self.proc.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        status = pathlib.Path(f"/proc/{self.proc.pid}/status").read_text()
        sizes = dict(line.split(":", 1) for line in status.splitlines())
        rss_kb, peak_kb = (int(sizes[key].split()[0]) for key in ("VmRSS", "VmHWM"))
        return Usage(cpu_s, rss_kb / 1024, peak_kb / 1024)

    async def query(self, command: str) -> dict:
        """Send a line to a driver process and return its JSON answer."""
        self.proc.stdin.write(f"{command}\n".encode())
        await self.proc.stdin.drain()
        line = await self.proc.stdout.readline()
        if not line:
            tail = self.log.read_text()[-LOG_TAIL:]
            raise RuntimeError(
                f"{self.name} exited before it answered {command!r}:\n{tail}"
            )
        return json.loads(line)

    async def stop(self) -> None:
        """Terminate the process and wait for it; kill it after a timeout."""
        if self.proc.returncode is None:
            self.proc.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.proc.wait()
        except TimeoutError:
            self.proc.kill()
            await self.proc.wait()


@dataclass(frozen=True, slots=True)
class CpuUse:
    """Processor time that processes used during some work.

    Attributes:
        cpu_s: Processor seconds by role.
        seconds: Duration of the work.
    """

    cpu_s: Mapping[str, float]
    seconds: float

    def us_per_item(self, count: int, idle: "CpuUse") -> dict[str, float]:
        """Return processor microseconds per item and role, without the idle cost.

        Args:
            count: Items processed.
            idle: Use of the same processes while idle, scaled to the duration.
        """
        idle_cpu_s = {r: self.seconds * s / idle.seconds for r, s in idle.cpu_s.items()}
        return {r: 1e6 * (s - idle_cpu_s[r]) / count for r, s in self.cpu_s.items()}


async def measure_cpu(children: Mapping[str, Child], work: Awaitable[object]) -> CpuUse:
    """Await some work and return the processor time that processes used meanwhile.

    Args:
        children: Processes by role.
        work: Awaited to do the work.
    """
    before = {role: child.usage().cpu_s for role, child in children.items()}
    began = time.monotonic()
    await work
    used = {
        role: child.usage().cpu_s - before[role] for role, child in children.items()
    }
    return CpuUse(used, time.monotonic() - began)


def resident_kb(key: str) -> float:
    """Return this process's current (``VmRSS``) or peak (``VmHWM``) memory in KB."""
    status = pathlib.Path("/proc/self/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(key))
    return float(line.split()[1])


@contextlib.contextmanager
def run_folder():
    """Yield a folder on disk for settings, logs and data; removed at the end."""
    pathlib.Path("run").mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir="run", prefix="slopes-") as name:
        yield pathlib.Path(name).resolve()


@contextlib.asynccontextmanager
async def start(
    folder: pathlib.Path, name: str, module: str, *args: str
) -> AsyncIterator[Child]:
    """Run ``python -m module`` until the block ends, with its output in a file.

    Args:
        folder: Folder of the log file.
        name: Name for messages and of the log file.
        module: Module to run.
        *args: Its arguments.
    """
    path = folder / f"{name}.log"
    with path.open("wb") as log:
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
    child = Child(name, proc, path)
    try:
        yield child
    finally:
        await child.stop()


@contextlib.asynccontextmanager
async def start_driver(
    folder: pathlib.Path, name: str, module: str, *args: str
) -> AsyncIterator[Child]:
    """Run a module until the block ends, with pipes as standard input and output.

    Args:
        folder: Folder of the file for its standard error.
        name: Name for messages and of that file.
        module: Module to run.
        *args: Its arguments.
    """
    path = folder / f"{name}.log"
    with path.open("wb") as log:
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *args,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            limit=LINE_LIMIT,
        )
    child = Child(name, proc, path)
    try:
        yield child
    finally:
        await child.stop()
