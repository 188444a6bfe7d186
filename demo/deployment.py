"""Deployment of the demonstration: settings, rules, start and stop order."""

__all__ = [
    "Deployment",
    "ENGINE_COUNT",
    "KEYS",
    "LAYERS",
    "MODEL",
    "RULES",
    "deploy",
    "stop_order",
    "wait_ready",
]

import asyncio
import pathlib
from dataclasses import dataclass, field

import aiohttp

from demo.processes import Child, free_ports, start

CONTROL_COUNT = 3
ENTRY_COUNT = 2
ENGINE_COUNT = 6
LAYERS = 12
LAYERS_PER_ENGINE = 4
MODEL = "proof-12"
DOMAINS = ("aarhus-a", "aarhus-b", "vejle-c")
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
KEYS = {"korrekturhuset": "demo-key-korrekturhuset", "vltava": "demo-key-vltava"}

RULES = f"""\
[organisation korrekturhuset]
keys = {KEYS["korrekturhuset"]}
share = 4

[organisation vltava]
keys = {KEYS["vltava"]}

[pipeline proof]
model = {MODEL}
layers = {LAYERS}
replicas = 2

[service directory]

[rule closed]
when = path under /directory/closed
then = refuse because the archive is closed

[rule notes]
when = path under /directory/notes and method is POST
then = route service directory
repeat = never

[rule directory]
when = path under /directory
then = route service directory

[rule proofreading]
when = model is {MODEL}
then = route pipeline proof
"""


@dataclass(slots=True)
class Deployment:
    """A running deployment.

    Attributes:
        folder: Folder of settings, logs, traces and data folders.
        children: Processes by role.
        entries: Base URLs of the entries for callers.
        health: Base URLs of the HTTP pages of the entries, for operators.
        controls: ip:port of the HTTP pages of the control replicas, for operators.
        engine_traces: Trace files of the engines.
        service_trace: Trace file of the plain service; None before it starts.
    """

    folder: pathlib.Path
    children: dict[str, list[Child]] = field(default_factory=dict)
    entries: list[str] = field(default_factory=list)
    health: list[str] = field(default_factory=list)
    controls: list[str] = field(default_factory=list)
    engine_traces: list[pathlib.Path] = field(default_factory=list)
    service_trace: pathlib.Path | None = None


async def deploy(dep: Deployment) -> None:
    """Start every process and wait until the control replicas are ready.

    Does not wait for the entries, which become ready once they hold a lease.

    Args:
        dep: Deployment to start. Each process is added when it starts, so that the
            caller can stop them after a failed start.
    """
    control_grpc = [f"127.0.0.1:{port}" for port in free_ports(CONTROL_COUNT)]
    await _start_controls(dep, control_grpc)
    await _start_backends(dep, control_grpc)
    await _start_entries(dep, control_grpc)
    for address in dep.controls:
        await wait_ready(f"http://{address}/readyz")


async def wait_ready(url: str) -> None:
    """Wait until a page answers with status 200.

    Args:
        url: URL of the page.

    Raises:
        TimeoutError: No such answer within ``START_TIMEOUT_S``.
    """
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as http:
        while True:
            try:
                async with http.get(url) as resp:
                    if resp.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)


def _write_config(dep: Deployment, name: str, text: str) -> str:
    path = dep.folder / f"{name}.ini"
    path.write_text(text)
    return str(path)


def _node_section(name: str, number: int) -> str:
    domain = DOMAINS[number % len(DOMAINS)]
    return f"[node]\nname = {name}\ndomain = {domain}\nregion = jutland\n\n"


async def _start_controls(dep: Deployment, grpc: list[str]) -> None:
    peers = ", ".join(f"control-{n}@{addr}" for n, addr in enumerate(grpc, 1))
    for number, address in enumerate(grpc, 1):
        name = f"control-{number}"
        http = f"127.0.0.1:{free_ports(1)[0]}"
        data = dep.folder / f"{name}-data"
        text = _node_section(name, number) + (
            f"[control]\ngrpc = {address}\nhttp = {http}\n"
            f"data = {data}\npeers = {peers}\n"
        )
        dep.controls.append(http)
        await _start_daemon(dep, "control", name, text)


async def _start_entries(dep: Deployment, control: list[str]) -> None:
    for number in range(1, ENTRY_COUNT + 1):
        name = f"entry-{number}"
        listen, http = (f"127.0.0.1:{port}" for port in free_ports(2))
        text = _node_section(name, number) + (
            f"[entry]\nlisten = {listen}\nhttp = {http}\n"
            f"control = {', '.join(control)}\n"
        )
        dep.entries.append(f"http://{listen}")
        dep.health.append(f"http://{http}")
        await _start_daemon(dep, "entry", name, text)


async def _start_backends(dep: Deployment, control: list[str]) -> None:
    for number in range(1, ENGINE_COUNT + 1):
        listen = f"127.0.0.1:{free_ports(1)[0]}"
        trace = dep.folder / f"engine-{number}.trace"
        dep.engine_traces.append(trace)
        args = ["--listen", listen, "--model", MODEL]
        args += ["--layer-capacity", str(LAYERS_PER_ENGINE), "--trace", str(trace)]
        if number % 2 == 0:
            args.append("--ignore-fencing")
        module = "wigeonscale.testing.fake_engine"
        await _start_process(dep, "engine", f"engine-{number}", module, *args)
        name = f"agent-{number}"
        extra = f"kind = engine\nbackend = http://{listen}\n"
        await _start_agent(dep, name, number, control, extra)
    listen = f"127.0.0.1:{free_ports(1)[0]}"
    dep.service_trace = dep.folder / "directory.trace"
    args = ["--listen", listen, "--name", "directory"]
    args += ["--trace", str(dep.service_trace)]
    module = "wigeonscale.testing.fake_service"
    await _start_process(dep, "service", "directory", module, *args)
    extra = f"kind = service\nservice = directory\nbackend = http://{listen}\n"
    await _start_agent(dep, "agent-directory", 0, control, extra)


async def _start_agent(
    dep: Deployment, name: str, number: int, control: list[str], extra: str
) -> None:
    grpc, http = (f"127.0.0.1:{port}" for port in free_ports(2))
    text = _node_section(name, number) + (
        f"[agent]\ngrpc = {grpc}\nhttp = {http}\n"
        f"control = {', '.join(control)}\n{extra}"
    )
    await _start_daemon(dep, "agent", name, text)


async def _start_daemon(dep: Deployment, role: str, name: str, text: str) -> None:
    path = _write_config(dep, name, text)
    module = "wigeonscale.cli.wigeond"
    await _start_process(dep, role, name, module, role, "--config", path)


async def _start_process(
    dep: Deployment, role: str, name: str, module: str, *args: str
) -> None:
    child = await start(name, dep.folder, module, *args)
    dep.children.setdefault(role, []).append(child)


def stop_order(dep: Deployment) -> list[Child]:
    """Return all processes in stop order: dependent processes first."""
    roles = ("entry", "agent", "control", "service", "engine")
    return [child for role in roles for child in dep.children.get(role, [])]
