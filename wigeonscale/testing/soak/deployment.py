"""The daemons under test: three control replica and two entry processes."""

__all__ = [
    "CONTROLS",
    "Deployment",
    "ENTRIES",
    "Node",
    "SHUTDOWN_TIMEOUT_S",
    "Start",
    "loopback_ip",
]

import asyncio
import contextlib
import math
import os
import pathlib
import shutil
import signal
import time
from dataclasses import dataclass, field

import aiohttp

from demo.processes import Child, free_ports, start


def loopback_ip(pid: int, host: int) -> str:
    """Return a loopback address for the daemons that one process starts.

    Processes with close ids get different addresses, so that parallel runs cannot share
    a port: gRPC servers of two runs could listen on one, as they set SO_REUSEPORT.
    """
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{host}"


CONTROLS = tuple(loopback_ip(os.getpid(), host) for host in (11, 12, 13))
ENTRIES = tuple(loopback_ip(os.getpid(), host) for host in (21, 22))
DAEMON = "wigeonscale.cli.wigeond"
# Time in which an entry finishes its requests after SIGTERM.
SHUTDOWN_TIMEOUT_S = 8.0
STOP_TIMEOUT_S = 20.0
# A process that ends by itself is noticed at most this much later than by its callers.
EXIT_DETECTION_S = 0.5
# Far more than a busy machine needs to start a replica and to admit it.
CATCH_UP_TIMEOUT_S = 45.0
CATCH_UP_POLL_INTERVAL_S = 0.1
READ_TIMEOUT_S = 2.0
# Random faults break far more requests than a deployment would have retried.
RETRY_SLACK = 1000
# Exit statuses after SIGTERM: stopped, shutdown timed out, and terminated by the signal
# before the daemon handled it.
STOPPED_STATUSES = frozenset({0, 3, -signal.SIGTERM})


@dataclass(slots=True, kw_only=True)
class Start:
    """One start of a daemon.

    Attributes:
        number: Number of the start, from 1.
        started_at: Monotonic time, in seconds.
        signals: Signals sent to the process, with its age.
        is_stopped: Whether the process was told to end.
        stopped_at: Monotonic time of the first SIGTERM.
        killed_at: Monotonic time at which the process ended other than by a graceful
            shutdown.
        pauses: Start and end of its pauses, in monotonic time.
    """

    number: int
    started_at: float = field(default_factory=time.monotonic)
    signals: list[str] = field(default_factory=list)
    is_stopped: bool = False
    stopped_at: float = math.inf
    killed_at: float = math.inf
    pauses: list[tuple[float, float]] = field(default_factory=list)

    @property
    def age_s(self) -> float:
        """Time since the start, in seconds."""
        return time.monotonic() - self.started_at

    def note_signal(self, signum: signal.Signals) -> None:
        """Record a signal that is being sent to the process."""
        now = time.monotonic()
        self.signals.append(f"{signum.name} at {now - self.started_at:.3f} s")
        if signum is signal.SIGTERM:
            self.stopped_at = min(self.stopped_at, now)
        elif signum is signal.SIGKILL:
            self.killed_at = min(self.killed_at, now)
        elif signum is signal.SIGSTOP:
            self.pauses.append((now, math.inf))
        elif signum is signal.SIGCONT and self.pauses:
            self.pauses[-1] = self.pauses[-1][0], min(self.pauses[-1][1], now)

    def note_exit(self, status: int) -> None:
        """Record that the process has ended with an exit status."""
        if status == -signal.SIGTERM:
            # It did not handle the signal yet.
            self.killed_at = min(self.killed_at, self.stopped_at)
        elif not self.is_stopped:
            self.killed_at = min(self.killed_at, time.monotonic() - EXIT_DETECTION_S)


@dataclass(slots=True)
class Node:
    """One daemon and its address.

    Attributes:
        name: Its name.
        role: ``direct-control`` or ``direct-entry``.
        ip: Its loopback IP address.
        child: Its process.
        starts: Number of starts.
        restart_lock: Held while a fault has stopped the daemon, so that overlapping
            faults do not start it twice.
        last_start: Its last start; None before the first.
    """

    name: str
    role: str
    ip: str
    child: Child | None = None
    starts: int = 0
    restart_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    last_start: Start | None = None

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process that this node started, if it is running."""
        if self.child is not None and self.child.proc.returncode is None:
            self.last_start.note_signal(signum)
            # Popen.send_signal() would collect the status of a process that has just
            # ended, and asyncio would report 255 instead.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.proc.pid, signum)


class Deployment:
    """Starts, signals and restarts the daemons.

    Args:
        folder: Folder for settings, data and logs.
        retry_slack: Slack of the retry budget of the entries, in retries.

    Attributes:
        unexpected_exits: Descriptions of daemons that ended without being told to, or
            with a status that a graceful shutdown does not have.
    """

    def __init__(self, *, folder: pathlib.Path, retry_slack: int = RETRY_SLACK):
        self._folder = folder
        self._retry_slack = retry_slack
        self.unexpected_exits: list[str] = []
        self._is_closing = False
        self._start_lock = asyncio.Lock()
        self._exit_watchers: set[asyncio.Task] = set()
        self._internal, self.http, self.callers = free_ports(3)
        self.controls = [
            Node(f"control-{n}", "direct-control", ip)
            for n, ip in enumerate(CONTROLS, 1)
        ]
        self.entries = [
            Node(f"entry-{n}", "direct-entry", ip) for n, ip in enumerate(ENTRIES, 1)
        ]

    @property
    def nodes(self) -> list[Node]:
        """All daemons."""
        return [*self.controls, *self.entries]

    @property
    def control_addresses(self) -> list[str]:
        """HTTP addresses of the control replicas."""
        return [f"{node.ip}:{self.http}" for node in self.controls]

    def caller_address(self, node: Node) -> str:
        """Return the address at which an entry serves callers."""
        return f"{node.ip}:{self.callers}"

    async def start(self, node: Node) -> None:
        """Start a daemon; ``first_start`` is set once for a control replica."""
        config = self._folder / f"{node.name}.ini"
        config.write_text(self._settings(node), encoding="utf-8")
        node.starts += 1
        log_name = f"{node.name}.{node.starts}"
        node.last_start = Start(number=node.starts)
        async with self._ignored_sighup():
            node.child = await start(
                log_name, self._folder, DAEMON, node.role, "--config", str(config)
            )
        watcher = asyncio.create_task(
            self._watch_exit(node, node.child, node.last_start)
        )
        self._exit_watchers.add(watcher)
        watcher.add_done_callback(self._exit_watchers.discard)

    async def kill(self, node: Node, signum: signal.Signals) -> int:
        """Stop a daemon by a signal and return its exit code.

        A process that is still running after ``STOP_TIMEOUT_S`` is killed.
        """
        if node.child.proc.returncode is not None:
            return node.child.proc.returncode
        node.last_start.is_stopped = True
        node.send_signal(signal.SIGCONT)
        node.send_signal(signum)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await node.child.proc.wait()
        except TimeoutError:
            node.send_signal(signal.SIGKILL)
            status = await node.child.proc.wait()
        if signum is signal.SIGTERM and status not in STOPPED_STATUSES:
            self._note_unexpected_exit(node, node.last_start, status)
        return status

    def wipe(self, node: Node) -> None:
        """Remove the data of a stopped daemon."""
        shutil.rmtree(self._data(node), ignore_errors=True)

    async def wait_until_caught_up(self, node: Node) -> None:
        """Wait until a control replica is ready.

        It is ready once it may vote and a majority has confirmed its state.

        Raises:
            TimeoutError: It did not within ``CATCH_UP_TIMEOUT_S``.
        """
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with (
            asyncio.timeout(CATCH_UP_TIMEOUT_S),
            aiohttp.ClientSession(timeout=timeout) as session,
        ):
            while not await self._is_ready(session, node):
                await asyncio.sleep(CATCH_UP_POLL_INTERVAL_S)

    async def wait_until_ready(self, entry: Node) -> None:
        """Wait until an entry is ready, as a load balancer does."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not await self._is_ready(session, entry, "ready"):
                await asyncio.sleep(CATCH_UP_POLL_INTERVAL_S)

    async def _is_ready(self, session, node, page: str = "readyz") -> bool:
        try:
            async with session.get(f"http://{node.ip}:{self.http}/{page}") as res:
                return res.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def close(self) -> None:
        """Kill every running daemon."""
        self._is_closing = True
        for node in self.nodes:
            if node.child is not None and node.child.proc.returncode is None:
                await self.kill(node, signal.SIGKILL)
        for watcher in list(self._exit_watchers):
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher

    @contextlib.asynccontextmanager
    async def _ignored_sighup(self):
        # As OPERATING.md says: a signal that is ignored at the start stays ignored
        # until the daemon handles it.
        async with self._start_lock:
            previous = signal.signal(signal.SIGHUP, signal.SIG_IGN)
            try:
                yield
            finally:
                signal.signal(signal.SIGHUP, previous)

    async def _watch_exit(self, node: Node, child: Child, last: Start) -> None:
        status = await child.proc.wait()
        last.note_exit(status)
        if last.is_stopped:
            return
        self._note_unexpected_exit(node, last, status)
        # As a process supervisor does; the rest of the run needs the daemon.
        async with node.restart_lock:
            if node.child is child and not self._is_closing:
                await self.start(node)

    def _note_unexpected_exit(self, node: Node, last: Start, status: int) -> None:
        self.unexpected_exits.append(
            f"{node.name} ended with status {status} {last.age_s:.3f} s after start"
            f" {last.number}; signals: {', '.join(last.signals) or 'none'}"
        )

    def _data(self, node: Node) -> pathlib.Path:
        return self._folder / f"{node.name}.data"

    def _settings(self, node: Node) -> str:
        seeds = ",".join(f"{ip}:{self.http}" for ip in CONTROLS)
        lines = [
            "[node]",
            f"name = {node.name}",
            "domain = z1",
            f"[{node.role}]",
            f"http = {node.ip}:{self.http}",
            f"seeds = {seeds}",
            f"internal_port = {self._internal}",
            f"stop_timeout_s = {SHUTDOWN_TIMEOUT_S:g}",
        ]
        if node.role == "direct-entry":
            lines += [
                f"listen = {self.caller_address(node)}",
                f"retry_slack = {self._retry_slack}",
            ]
        else:
            first = "no" if node.starts else "yes"
            lines += [f"ip = {node.ip}", f"data = {self._data(node)}"]
            lines += [f"first_start = {first}"]
            lines += ["backend_heartbeat_s = 0.3"]
        return "\n".join(lines) + "\n"
