"""Starts the project's daemons as separate processes on loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
RETRY_INTERVAL_S = 0.05
EXIT_TIMEOUT_S = 10.0
LOG_FLAGS = os.O_CREAT | os.O_APPEND | os.O_WRONLY
# Also when a stand-in hangs, all processes are ended within two minutes.
CASE_TIMEOUT_S = 110.0
GRACE_S = 8  # from SIGTERM to SIGKILL


class Record:
    """Log of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, folder):
        self._loop = asyncio.get_running_loop()
        self._began_at = self._loop.time()
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def add(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{self._loop.time() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


class Process:
    """One daemon; a supervisor restarts it if it ends by itself."""

    def __init__(self, *, name, role, settings, folder, record, restart_after_s=0.3):
        self.name = name
        self.role = role
        self.settings = settings
        self.own_ends = []
        self.is_expected_to_end = False
        self._folder = folder
        self._record = record
        self._restart_after_s = restart_after_s
        self._proc = None
        self._task = None

    async def start(self):
        """Start the daemon with the command of the deploy file."""
        path = self._folder / f"{self.name}.ini"
        path.write_text(self.settings, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        role = deploy["roles"][self.role]
        program, *args = role["run"].split()
        args = [str(path) if arg.startswith("/etc/") else arg for arg in args]
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env |= role["env"] | {"PYTHONPATH": str(ROOT / "target/deps")}
        log = os.open(self._folder / f"{self.name}.log", LOG_FLAGS, 0o600)
        try:
            self._proc = await asyncio.create_subprocess_exec(
                program, *args, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        finally:
            os.close(log)
        self._record.add(f"{self.name} started, pid {self._proc.pid}")
        self._task = asyncio.create_task(self._watch(self._proc))

    def signal(self, signum):
        """Send a signal to the process."""
        self._record.add(f"{signum.name} to {self.name}")
        self._proc.send_signal(signum)

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._proc is not None and self._proc.returncode is None

    async def _watch(self, proc):
        status = await proc.wait()
        self._record.add(f"{self.name} ended with status {status}")
        if self.is_expected_to_end:
            return
        self.own_ends.append(status)
        await asyncio.sleep(self._restart_after_s)
        await self.start()

    async def close(self):
        """Kill the process and wait for its end."""
        self.is_expected_to_end = True
        if self._task is not None and not self.is_running:
            self._task.cancel()
        if self.is_running:
            self._proc.send_signal(signal.SIGKILL)
            await asyncio.wait_for(self._proc.wait(), EXIT_TIMEOUT_S)


class Cluster:
    """Three control replicas and some entries, as in a small deployment.

    The settings are those of the templates in ``deploy/``, with the bounds of the
    sheet of korrektur-net.
    """

    def __init__(self, *, record, entries=2):
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.record = record
        net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        ips = [f"{net}.{n}" for n in range(11, 14 + entries)]
        internal, http, ready, front = free_ports(ips, 4)
        self._internal, self._http = internal, http
        self.controls = [f"{ip}:{http}" for ip in ips[:3]]
        self.fronts = [f"{ip}:{front}" for ip in ips[3:]]
        self.ready = [f"{ip}:{ready}" for ip in ips[3:]]
        self.engine_net = net
        seeds = ",".join(self.controls)
        self.control_processes = [
            self._new_control(n, ip, seeds) for n, ip in enumerate(ips[:3], 1)
        ]
        self.entry_processes = [
            Process(
                name=f"entry-{n}",
                role="entry",
                folder=self.folder,
                record=record,
                settings="\n".join(
                    [
                        "[node]",
                        f"name = entry-{n}",
                        f"domain = z{1 + (n - 1) % 3}",
                        "region = r",
                        "[direct-entry]",
                        f"listen = {ip}:{front}",
                        f"http = {ip}:{ready}",
                        f"seeds = {seeds}",
                        f"internal_port = {internal}",
                        "retry_ratio = 0.2",
                        "retry_slack = 198",
                        "retry_window_s = 10",
                        "serve_when_cut = yes",
                        f"killed_after_s = {GRACE_S}",
                        "",
                    ]
                ),
            )
            for n, ip in enumerate(ips[3:], 1)
        ]

    def _new_control(self, number, ip, seeds):
        return Process(
            name=f"control-{number}",
            role="control",
            folder=self.folder,
            record=self.record,
            settings="\n".join(
                [
                    "[node]",
                    f"name = control-{number}",
                    f"domain = z{1 + (number - 1) % 3}",
                    "region = r",
                    "[direct-control]",
                    f"ip = {ip}",
                    f"http = {ip}:{self._http}",
                    f"data = {self.folder}/data-{number}",
                    f"seeds = {seeds}",
                    f"internal_port = {self._internal}",
                    "first_start = yes",
                    "stop_timeout_s = 5",
                    f"killed_after_s = {GRACE_S}",
                    "backend_heartbeat_s = 1200 ms",
                    "",
                ]
            ),
        )

    @property
    def processes(self):
        """All daemons."""
        return [*self.control_processes, *self.entry_processes]

    async def start(self):
        """Start all daemons."""
        await asyncio.gather(*[process.start() for process in self.processes])

    async def wait_until_ready(self, timeout_s=25.0):
        """Wait until every entry answers its liveness check with 200."""

        async def is_ready():
            answers = [await call(each, "GET", "/ready") for each in self.ready]
            return all(status == 200 for status, _ in answers)

        await wait_until(is_ready, timeout_s)

    async def put_config(self, body, timeout_s=25.0):
        """Send a desired state as the operator does; return the last status."""
        async with asyncio.timeout(timeout_s):
            for turn in range(10_000):
                address = self.controls[turn % len(self.controls)]
                status, _ = await call(address, "PUT", "/config", body)
                if status is not None and (status == 200 or 400 <= status < 500):
                    self.record.add(f"PUT /config at {address}: {status}")
                    return status
                await asyncio.sleep(min(1.0, 0.1 * (1 + turn)))

    async def close(self):
        """Kill all daemons and remove the folder."""
        await asyncio.gather(*[process.close() for process in self.processes])
        self._temporary.cleanup()


def free_ports(ips, count):
    """Return ports that are free on all addresses."""
    found = []
    while len(found) < count:
        port = random.randrange(20_000, 30_000)
        socks = []
        try:
            for ip in ips:
                sock = socket.socket()
                socks.append(sock)
                sock.bind((ip, port))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        if port not in found:
            found.append(port)
    return found


async def wait_until(condition, timeout_s):
    """Wait until a coroutine function returns true.

    Raises:
        TimeoutError: It did not in time.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            if await condition():
                return
            await asyncio.sleep(RETRY_INTERVAL_S)


async def call(address, method, path, body=None, timeout_s=1.0):
    """Make one HTTP call on a new channel; return status and body, or None."""
    data = b"" if body is None else json.dumps(body).encode()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}"
                "\r\n\r\n".encode()
                + data
            )
            raw = await reader.read(-1)
        head, _, content = raw.partition(b"\r\n\r\n")
        return int(head.split()[1]), content
    except (OSError, TimeoutError, ValueError, IndexError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        record = Record(folder)
        loop = asyncio.get_running_loop()
        # A case that is stopped ends its processes, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                return await case(record, has_trouble)
        except Exception as exc:
            record.add(f"the case could not run: {exc!r}")
            traceback.print_exc()
            return 2
        finally:
            record.close()

    status = asyncio.run(main())
    print({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[status])
    sys.exit(status)
