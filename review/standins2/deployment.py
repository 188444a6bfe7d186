"""Starts the daemons as the deploy file does, on loopback addresses."""

__all__ = ["Deployment", "Node", "wait_until"]

import asyncio
import os
import pathlib
import signal
import socket
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from review.standins2.http1 import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/wigeonscale/local.conf"
CONTROL_COUNT = 3
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class Node:
    """One daemon.

    Attributes:
        name: Its name.
        role: Its role in the deploy file.
        ip: Its loopback address.
        proc: Its process.
        starts: Number of starts.
    """

    name: str
    role: str
    ip: str
    proc: asyncio.subprocess.Process | None = None
    starts: int = 0


class Deployment:
    """Three control replicas and some entries.

    Args:
        folder: Folder for settings, data and logs.
        entries: Number of entries.
        heartbeat_ms: Interval of the heartbeats of backend servers.
    """

    def __init__(
        self, *, folder: pathlib.Path, entries: int = 1, heartbeat_ms: int = 1200
    ):
        self._folder = folder
        self._heartbeat_ms = heartbeat_ms
        pid = os.getpid()
        prefix = f"127.{1 + pid // 250 % 250}.{1 + pid % 250}"
        self.controls = [
            Node(f"control-{n}", "control", f"{prefix}.{10 + n}")
            for n in range(1, CONTROL_COUNT + 1)
        ]
        self.entries = [
            Node(f"entry-{n}", "entry", f"{prefix}.{20 + n}")
            for n in range(1, entries + 1)
        ]
        self._internal, self.http, self.front = _free_ports(
            [node.ip for node in [*self.controls, *self.entries]], 3
        )
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        self._roles = tomllib.loads(text)["roles"]

    @property
    def control_addresses(self) -> list[str]:
        """Addresses of the control replicas for the operator and for engines."""
        return [f"{node.ip}:{self.http}" for node in self.controls]

    def front_address(self, node: Node) -> str:
        """Return the address at which an entry serves clients."""
        return f"{node.ip}:{self.front}"

    async def start(self, node: Node) -> None:
        """Start a daemon with the command of its role."""
        settings = self._folder / f"{node.name}.ini"
        settings.write_text(self._settings(node), encoding="utf-8")
        node.starts += 1
        role = self._roles[node.role]
        words = role["run"].replace(SETTINGS_PATH, str(settings)).split()
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env = kept | role.get("env", {}) | {"PYTHONPATH": "target/deps"}
        log = os.open(
            self._folder / f"{node.name}.log", os.O_CREAT | os.O_APPEND | os.O_WRONLY
        )
        try:
            node.proc = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        finally:
            os.close(log)

    async def start_all(self) -> None:
        """Start every daemon."""
        for node in [*self.controls, *self.entries]:
            await self.start(node)

    def send_signal(self, node: Node, signum: signal.Signals) -> None:
        """Send a signal to a daemon that runs."""
        if node.proc is not None and node.proc.returncode is None:
            node.proc.send_signal(signum)

    async def stop(self, node: Node, signum: signal.Signals = signal.SIGKILL) -> int:
        """Stop a daemon by a signal and return its exit status."""
        self.send_signal(node, signum)
        return await node.proc.wait()

    async def wait_until_ready(self) -> None:
        """Wait until control has a leader and every entry is ready.

        Raises:
            TimeoutError: It did not come to that in time.
        """
        for node in self.controls:
            await wait_until(lambda node=node: self._is_ready(node, "/readyz"))

    async def wait_for_entries(self) -> None:
        """Wait until every entry says that it is ready."""
        for node in self.entries:
            await wait_until(lambda node=node: self._is_ready(node, "/ready"))

    async def put_config(self, document: dict) -> int:
        """Send a desired state as the operator does; return the status."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for address in self.control_addresses:
                    reply = await call("PUT", address, "/config", document)
                    if reply.status and reply.status < 500:
                        return reply.status
                await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Kill every daemon that runs."""
        for node in [*self.controls, *self.entries]:
            if node.proc is not None and node.proc.returncode is None:
                self.send_signal(node, signal.SIGCONT)
                self.send_signal(node, signal.SIGKILL)
                await node.proc.wait()

    async def _is_ready(self, node: Node, path: str) -> bool:
        return (await call("GET", f"{node.ip}:{self.http}", path)).status == 200

    def _settings(self, node: Node) -> str:
        seeds = ",".join(self.control_addresses)
        lines = ["[node]", f"name = {node.name}", "domain = zone-a", "region = r"]
        if node.role == "entry":
            lines += [
                "[direct-entry]",
                f"listen = {self.front_address(node)}",
                f"http = {node.ip}:{self.http}",
                f"seeds = {seeds}",
                f"internal_port = {self._internal}",
                "retry_ratio = 0.2",
                "retry_slack = 198",
                "retry_window_s = 10",
                "serve_when_cut = yes",
                "killed_after_s = 8",
            ]
        else:
            lines += [
                "[direct-control]",
                f"ip = {node.ip}",
                f"http = {node.ip}:{self.http}",
                f"data = {self._folder / node.name}",
                f"seeds = {seeds}",
                f"internal_port = {self._internal}",
                f"first_start = {'no' if node.starts else 'yes'}",
                "stop_timeout_s = 5",
                "killed_after_s = 8",
                f"backend_heartbeat_s = {self._heartbeat_ms} ms",
            ]
        return "\n".join(lines) + "\n"


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        # Other processes can only be polled from outside.
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free at every one of some addresses."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port not in ports and all(_is_free(ip, port) for ip in ips):
            ports.append(port)
    return ports


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
