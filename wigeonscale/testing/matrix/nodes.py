"""In-process nodes of a small deployment, connected through relays."""

__all__ = ["AgentNode", "ControlNode", "EntryNode", "Node"]

import asyncio
import pathlib
import shutil
from collections.abc import Mapping
from typing import Protocol

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.adapters.service_http import HttpService, single_attempt_session
from wigeonscale.agent import Agent, BackendState, OrderExecutor
from wigeonscale.config import AgentSettings, ControlSettings, EntrySettings
from wigeonscale.daemons.control import ControlDaemon
from wigeonscale.daemons.entry import build_entry
from wigeonscale.entry import CallerServer
from wigeonscale.membership import Change, ControlClient
from wigeonscale.ports import Engine, SystemClock
from wigeonscale.replication import GrpcTransport
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc


class Node(Protocol):
    """A node that can be started, killed and stopped gracefully."""

    name: str

    async def start(self) -> None:
        """Start with empty memory."""

    async def kill(self) -> None:
        """Stop abruptly; the caller has reset the connections before."""

    async def stop(self) -> None:
        """Stop as the daemon does on SIGTERM."""


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class ControlNode:
    """A control replica.

    Args:
        cfg: Its settings, with the announced addresses of its peers.
        dial_addresses: Maps each announced address to the relay through which this
            replica connects.
    """

    def __init__(self, *, cfg: ControlSettings, dial_addresses: Mapping[str, str]):
        self.name = cfg.name
        self.cfg = cfg
        self._dial_addresses = dial_addresses
        self.daemon: ControlDaemon | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start from the data folder."""
        dial_addresses = self._dial_addresses
        self.daemon = ControlDaemon(
            cfg=self.cfg,
            clock=SystemClock(),
            transport=GrpcTransport(
                channel=lambda address: open_channel(dial_addresses[address])
            ),
            addresses=list(dial_addresses.values()),
        )
        await self.daemon.start()
        self._task = asyncio.create_task(self.daemon.run())

    async def kill(self) -> None:
        """Stop abruptly; synced data remains."""
        daemon, self.daemon = self.daemon, None
        if daemon is None:
            return
        await _cancel([self._task])
        await daemon.stop()

    async def stop(self) -> None:
        """Stop gracefully."""
        daemon, self.daemon = self.daemon, None
        await daemon.stop()
        await _cancel([self._task])

    def lose_disk(self) -> None:
        """Remove the data folder of a stopped replica."""
        shutil.rmtree(pathlib.Path(self.cfg.data))


class EntryNode:
    """An entry.

    Args:
        cfg: Its settings.
    """

    def __init__(self, *, cfg: EntrySettings):
        self.name = cfg.name
        self.cfg = cfg
        self.control: ControlClient | None = None
        self._server: CallerServer | None = None
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start; callers are served once the first lease is granted."""
        cfg, clock = self.cfg, SystemClock()
        control = ControlClient(
            node_id=cfg.name,
            role="entry",
            addresses=cfg.control,
            clock=clock,
            lease_s=cfg.lease_s,
            heartbeat_s=cfg.heartbeat_s,
        )
        entry = build_entry(cfg, control=control, clock=clock)
        control.changes.subscribe(
            lambda change: (
                entry.reroute_removed_chains() if change is Change.MEMBERS else None
            )
        )
        self.control = control
        self._server = CallerServer(entry=entry, address=cfg.listen)
        self._tasks = [
            asyncio.create_task(control.run()),
            asyncio.create_task(self._serve(control, self._server)),
        ]

    async def _serve(self, control: ControlClient, server: CallerServer) -> None:
        await control.ready()
        await server.start()

    async def kill(self) -> None:
        """Stop abruptly."""
        if self.control is None:
            return
        self.control = None
        await _cancel(self._tasks)
        await self._server.close()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self._server.stop_accepting()
        await self._server.finish()
        await self.kill()


class AgentNode:
    """An agent of an engine or of a plain service.

    Args:
        cfg: Its settings.
        advertised_address: Address that it announces, which is that of its relay.
        engine: Its engine, or None for a plain service.
    """

    def __init__(
        self,
        *,
        cfg: AgentSettings,
        advertised_address: str,
        engine: Engine | None = None,
    ):
        self.name = cfg.name
        self.cfg = cfg
        self.engine = engine
        self.control: ControlClient | None = None
        self.state: BackendState | None = None
        self._advertised_address = advertised_address
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start with a new incarnation."""
        cfg, clock = self.cfg, SystemClock()
        self._session = single_attempt_session()
        service = None
        if self.engine is None:
            service = HttpService(url=cfg.backend, session=self._session)
        self._server, _ = new_server(cfg.grpc)
        self.state = state = BackendState(
            base=self._base(),
            engine=self.engine,
            service=service,
            clock=clock,
            probe_s=cfg.heartbeat_s,
        )
        orders = OrderExecutor(
            state=state, engine=self.engine, floor=lambda: control.floor()
        )
        self.control = control = ControlClient(
            node_id=cfg.name,
            role="agent",
            addresses=cfg.control,
            clock=clock,
            announce=state.announcement,
            on_order=orders.execute,
            on_ended=state.renew_incarnation,
            lease_s=cfg.lease_s,
            heartbeat_s=cfg.heartbeat_s,
        )
        self._agent = Agent(
            cfg=cfg,
            control=control,
            clock=clock,
            state=state,
            dial=open_channel,
            engine=self.engine,
            service=service,
        )
        state.on_changed = self._agent.announcement_changed
        wire_pb2_grpc.add_AgentServicer_to_server(self._agent.servicer, self._server)
        await state.probe()
        await self._server.start()
        loops = (control.run(), state.watch(), self._agent.run())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def kill(self) -> None:
        """Stop abruptly; the backend server keeps running."""
        if self.control is None:
            return
        self.control = None
        await _cancel(self._tasks)
        await self._server.stop(grace=0)
        await self._agent.close()
        await self._session.close()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self._agent.stop_accepting()
        await self._agent.drain()
        await self.kill()

    def _base(self) -> wire.Backend:
        cfg = self.cfg
        return wire.Backend(
            agent_id=cfg.name,
            address=self._advertised_address,
            domain=cfg.domain,
            region=cfg.region,
            kind=wire.ENGINE if cfg.kind == "engine" else wire.SERVICE,
            service=cfg.service,
        )
