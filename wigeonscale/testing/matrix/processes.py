"""A deployment of real processes, which receive real signals."""

__all__ = ["Processes"]

import asyncio
import itertools
import pathlib
import shutil
import signal
import tempfile
import types
from collections.abc import Callable, Sequence

import aiohttp

from demo.deployment import Deployment, deploy, stop_order, wait_ready
from demo.processes import Child, start, stop_all
from wigeonscale.testing.matrix.cluster import WAIT_TIMEOUT_S
from wigeonscale.testing.matrix.load import apply_rules
from wigeonscale.testing.traces import Record, read_trace

POLL_INTERVAL_S = 0.1
TRACE_POLL_INTERVAL_S = 0.5
BACKENDS = 7
DAEMONS = "wigeonscale.cli.wigeond"
ROLES = ("control", "agent", "entry")

_starts = itertools.count(2)


class Processes:
    """The processes of the demo, with the interface of ``Cluster`` for callers.

    Attributes:
        controls: Control replicas by name; ``cfg.http`` is the admin address.
        accepted: Newest revision that an operator was told was accepted.
    """

    def __init__(self):
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="wigeonscale-processes-"))
        self.dep = Deployment(folder=self._folder)
        self.http: aiohttp.ClientSession | None = None
        self.controls: dict[str, types.SimpleNamespace] = {}
        self.accepted = 0

    async def start(self) -> None:
        """Start all processes and wait until a pipeline serves."""
        timeout = aiohttp.ClientTimeout(total=WAIT_TIMEOUT_S)
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self.http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        await deploy(self.dep)
        for number, address in enumerate(self.dep.controls, 1):
            cfg = types.SimpleNamespace(http=address)
            self.controls[f"control-{number}"] = types.SimpleNamespace(cfg=cfg)
        await apply_rules(self, 0)
        await self.wait_until_ready()

    async def close(self) -> list[str]:
        """Stop all processes; return those that did not stop cleanly."""
        await self.http.close()
        bad = await stop_all(stop_order(self.dep))
        shutil.rmtree(self._folder)
        return bad

    def entry_url(self, name: str) -> str:
        """Return the base URL of ``e1`` or ``e2``."""
        return self.dep.entries[int(name[1:]) - 1]

    def record_accepted(self, revision: int) -> None:
        """Record that an operator was told that a revision was accepted."""
        self.accepted = max(self.accepted, revision)

    def names(self, role: str) -> list[str]:
        """Return the names of the processes of a role."""
        return [child.name for child in self.dep.children[role]]

    def child(self, name: str) -> Child:
        """Return the process with a name."""
        children = itertools.chain(*self.dep.children.values())
        return next(child for child in children if child.name == name)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process."""
        self.child(name).proc.send_signal(signum)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.signal(name, signal.SIGKILL)
        await self.child(name).proc.wait()

    async def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return await self.child(name).proc.wait()

    async def restart(self, name: str) -> None:
        """Restart a stopped daemon with the same settings."""
        for role, children in self.dep.children.items():
            for index, child in enumerate(children):
                if child.name == name:
                    new = await self._start(role, name)
                    children[index] = new

    async def _start(self, role: str, name: str) -> Child:
        config = str(self._folder / f"{name}.ini")
        log_name = f"{name}-start-{next(_starts)}"
        child = await start(log_name, self._folder, DAEMONS, role, "--config", config)
        child.name = name
        return child

    def data(self, name: str) -> pathlib.Path:
        """Return the data folder of a control replica."""
        return self._folder / f"{name}-data"

    def log_text(self, name: str) -> str:
        """Return the log output of all starts of a daemon."""
        logs = sorted(self._folder.glob(f"{name}*.log"))
        return "".join(log.read_text() for log in logs)

    async def page(self, name: str, page: str) -> dict:
        """Return an admin page of a control replica; empty if it is not served."""
        url = f"http://{self.controls[name].cfg.http}/admin/{page}"
        try:
            async with self.http.get(url) as resp:
                return await resp.json() if resp.status == 200 else {}
        except (aiohttp.ClientError, OSError, TimeoutError):
            return {}

    async def leader(self) -> str:
        """Return the name of the up-to-date leader, or an empty string."""
        for name in self.controls:
            status = await self.page(name, "status")
            if status.get("role") == "leader" and status["fresh"]:
                return name
        return ""

    async def stages(self) -> list[str]:
        """Return the agents of the first ready chain, in layer order."""
        leader = await self.leader()
        shown = await self.page(leader, "pipelines") if leader else {}
        for pipeline in shown.get("pipelines", []):
            for chain in pipeline["chains"]:
                if chain["ready"]:
                    return [stage["agent_id"] for stage in chain["stages"]]
        return []

    async def revision(self) -> int:
        """Return the revision known to the leader; 0 without a leader."""
        leader = await self.leader()
        return (await self.page(leader, "status")).get("revision", 0) if leader else 0

    async def wait_until_ready(self) -> None:
        """Wait until every process is ready and has applied the newest revision."""
        for url in self.dep.health:
            await wait_ready(f"{url}/readyz")
        for address in self.dep.controls:
            await wait_ready(f"http://{address}/readyz")
        await self._until(self.stages, "a ready chain")
        await self._until(self._all_members, "all members")
        await self._until(self._all_up_to_date, f"revision {self.accepted} everywhere")

    async def _all_members(self) -> bool:
        leader = await self.leader()
        shown = await self.page(leader, "backends") if leader else {}
        backends = shown.get("backends", [])
        leaving = any(backend["draining"] for backend in backends)
        return len(backends) == BACKENDS and not leaving

    async def _all_up_to_date(self) -> bool:
        revisions = await self.revisions()
        watchers = len(self.names("entry")) + len(self.names("agent"))
        expected = watchers + len(self.controls)
        return len(revisions) >= expected and min(revisions) >= self.accepted

    async def revisions(self) -> list[int]:
        """Return the revision applied by every replica and every watcher."""
        applied = []
        for name in self.controls:
            status = await self.page(name, "status")
            if status:
                applied.append(status["revision"])
                applied += [w["applied_revision"] for w in status["watchers"]]
        return applied

    async def _until(self, condition: Callable, description: str) -> None:
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not await condition():  # noqa: ASYNC110 (another process)
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise TimeoutError(
                f"timed out after {WAIT_TIMEOUT_S:g} s waiting for {description}"
            ) from None

    async def steps(self) -> list[Record]:
        """Return the trace records of all engines, once their traces stop growing.

        Work may continue for a while on engines from which a request was moved away.
        Trace files that are read one after the other would then show that work out of
        order.
        """
        records: list[Record] | None = None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                before = records
                records = [
                    r for path in self.dep.engine_traces for r in read_trace(path)
                ]
                if before is not None and len(before) == len(records):
                    return records
                await asyncio.sleep(TRACE_POLL_INTERVAL_S)

    def effects(self) -> list[Record]:
        """Return the trace records of the plain service."""
        return read_trace(self.dep.service_trace)

    async def restart_all(self, order: Sequence[str]) -> None:
        """Kill every daemon, then restart them role by role.

        Args:
            order: Roles in the order in which they are started.
        """
        names = {role: self.names(role) for role in ROLES}
        for name in itertools.chain(*names.values()):
            await self.kill(name)
        for role in order:
            for name in names[role]:
                await self.restart(name)
