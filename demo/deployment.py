"""The demonstration's deployment: settings, rules and start order."""

__all__ = ["Deployment", "ENGINE_COUNT", "KEYS", "LAYERS", "MODEL", "RULES", "deploy"]

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
POLL_S = 0.1
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
        folder: Holds settings, logs, traces and data folders.
        children: Processes in the order in which they are to be stopped.
        entries: Base URLs for callers.
        controls: ip:port of the operators' pages.
        engine_traces: Trace files of the engines.
        service_trace: Trace file of the plain service.
    """

    folder: pathlib.Path
    children: list[Child] = field(default_factory=list)
    entries: list[str] = field(default_factory=list)
    controls: list[str] = field(default_factory=list)
    engine_traces: list[pathlib.Path] = field(default_factory=list)
    service_trace: pathlib.Path | None = None


async def deploy(folder: pathlib.Path) -> Deployment:
    """Start every process and wait until the control replicas are ready.

    Args:
        folder: An empty folder for everything that the processes write.

    Returns:
        The running deployment. Entries become ready once rules are applied.
    """
    dep = Deployment(folder=folder)
    control_grpc = [f"127.0.0.1:{port}" for port in free_ports(CONTROL_COUNT)]
    controls = await _start_controls(dep, control_grpc)
    agents, backends = await _start_backends(dep, control_grpc)
    entries = await _start_entries(dep, control_grpc)
    dep.children = entries + agents + controls + backends
    for address in dep.controls:
        await wait_ready(f"http://{address}/readyz")
    return dep


async def wait_ready(url: str) -> None:
    """Wait until a page answers with status 200.

    Args:
        url: The page.

    Raises:
        TimeoutError: It did not within ``START_TIMEOUT_S``.
    """
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as http:
        while True:
            try:
                async with http.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(POLL_S)


def _write(dep: Deployment, name: str, text: str) -> str:
    path = dep.folder / f"{name}.ini"
    path.write_text(text)
    return str(path)


def _node(name: str, number: int) -> str:
    domain = DOMAINS[number % len(DOMAINS)]
    return f"[node]\nname = {name}\ndomain = {domain}\nregion = jutland\n\n"


async def _start_controls(dep: Deployment, grpc: list[str]) -> list[Child]:
    peers = ", ".join(f"control-{n}@{addr}" for n, addr in enumerate(grpc, 1))
    children = []
    for number, address in enumerate(grpc, 1):
        name = f"control-{number}"
        http = f"127.0.0.1:{free_ports(1)[0]}"
        data = dep.folder / f"{name}-data"
        text = _node(name, number) + (
            f"[control]\ngrpc = {address}\nhttp = {http}\n"
            f"data = {data}\npeers = {peers}\n"
        )
        dep.controls.append(http)
        children.append(await _daemon(dep, "control", name, text))
    return children


async def _start_entries(dep: Deployment, control: list[str]) -> list[Child]:
    children = []
    for number in range(1, ENTRY_COUNT + 1):
        name = f"entry-{number}"
        listen, http = (f"127.0.0.1:{port}" for port in free_ports(2))
        text = _node(name, number) + (
            f"[entry]\nlisten = {listen}\nhttp = {http}\n"
            f"control = {', '.join(control)}\n"
        )
        dep.entries.append(f"http://{listen}")
        children.append(await _daemon(dep, "entry", name, text))
    return children


async def _start_backends(
    dep: Deployment, control: list[str]
) -> tuple[list[Child], list[Child]]:
    agents, backends = [], []
    for number in range(1, ENGINE_COUNT + 1):
        listen = f"127.0.0.1:{free_ports(1)[0]}"
        trace = dep.folder / f"engine-{number}.trace"
        dep.engine_traces.append(trace)
        args = ["--listen", listen, "--model", MODEL]
        args += ["--layer-capacity", str(LAYERS_PER_ENGINE), "--trace", str(trace)]
        if number % 2 == 0:
            args.append("--ignore-fencing")
        module = "wigeonscale.testing.fake_engine"
        backends.append(await start(f"engine-{number}", dep.folder, module, *args))
        name = f"agent-{number}"
        extra = f"kind = engine\nbackend = http://{listen}\n"
        agents.append(await _start_agent(dep, name, number, control, extra))
    listen = f"127.0.0.1:{free_ports(1)[0]}"
    dep.service_trace = dep.folder / "directory.trace"
    args = ["--listen", listen, "--name", "directory"]
    args += ["--trace", str(dep.service_trace)]
    module = "wigeonscale.testing.fake_service"
    backends.append(await start("directory", dep.folder, module, *args))
    extra = f"kind = service\nservice = directory\nbackend = http://{listen}\n"
    agents.append(await _start_agent(dep, "agent-directory", 0, control, extra))
    return agents, backends


async def _start_agent(
    dep: Deployment, name: str, number: int, control: list[str], extra: str
) -> Child:
    grpc, http = (f"127.0.0.1:{port}" for port in free_ports(2))
    text = _node(name, number) + (
        f"[agent]\ngrpc = {grpc}\nhttp = {http}\n"
        f"control = {', '.join(control)}\n{extra}"
    )
    return await _daemon(dep, "agent", name, text)


async def _daemon(dep: Deployment, role: str, name: str, text: str) -> Child:
    path = _write(dep, name, text)
    module = "wigeonscale.cli.wigeond"
    return await start(name, dep.folder, module, role, "--config", path)
