"""Builds and runs the control daemon for backend servers without agents."""

__all__ = ["run_direct_control"]

import asyncio
import functools
import logging
from collections.abc import Callable, Sequence

import aiohttp

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.adapters.health import start_http
from wigeonscale.adapters.http_connector import CleanConnector
from wigeonscale.adapters.logs import setup_logging
from wigeonscale.config import DirectControlSettings
from wigeonscale.control import (
    Commands,
    ControlServicer,
    EntryCounter,
    Hub,
    LayerAssigner,
    Registry,
    ReplicaMembership,
    RetryLedger,
)
from wigeonscale.control.numbered_documents import NumberedDocuments
from wigeonscale.daemons.runtime import (
    StopStep,
    late_step_timeout_s,
    run_until_stopped,
    shutdown_timeout_s,
)
from wigeonscale.platform.control_http import MAX_DOCUMENT_BYTES, control_routes
from wigeonscale.platform.documents import compress, decompress, read_route_table
from wigeonscale.platform.engine_orders import HttpEngineOrders
from wigeonscale.platform.exchange_http import new_session
from wigeonscale.ports import Clock, SystemClock
from wigeonscale.replication import (
    DiskFolder,
    GrpcTransport,
    Member,
    Replica,
    ReplicaOptions,
    ReplicationServicer,
    Role,
)
from wigeonscale.routes import RouteTable, detects_early
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2_grpc

SERVER_GRACE_S = 0.3

logger = logging.getLogger(__name__)


class DirectControl:
    """The components of one control replica.

    Args:
        cfg: Settings.
        clock: Clock port.
        session: HTTP client of the process.
        order_session: HTTP client for orders to engines, which uses each connection
            once.
    """

    def __init__(
        self,
        *,
        cfg: DirectControlSettings,
        clock: Clock,
        session: aiohttp.ClientSession,
        order_session: aiohttp.ClientSession,
    ):
        self._cfg = cfg
        self._stopping = False
        self._server = None
        self._http_runner = None
        self._table = RouteTable()
        # Services whose lost engines entries detect early, by the route table.
        self._early_services: frozenset[str] = frozenset()
        self._detection_table = self._table
        address = f"{cfg.ip}:{cfg.internal_port}"
        seeds = [internal_address(seed, cfg.internal_port) for seed in cfg.seeds]
        self.state = ControlState()
        self.replica = Replica(
            node_id=address,
            address=address,
            initial_members=[Member(seed, seed) for seed in seeds],
            folder=DiskFolder(path=cfg.data),
            machine=self.state,
            transport=GrpcTransport(
                channel=functools.partial(open_channel, tls=cfg.tls)
            ),
            clock=clock,
            options=ReplicaOptions(
                election_timeout_s=cfg.election_timeout_s,
                heartbeat_s=cfg.heartbeat_s,
                snapshot_entries=cfg.snapshot_entries,
            ),
            allow_bootstrap=cfg.first_start,
            is_first_start=cfg.first_start,
            shared=self,
        )
        self._retry_ledger = RetryLedger(
            state=self.state, replica=self.replica, clock=clock
        )
        self.commands = Commands(
            replica=self.replica,
            addresses=seeds,
            clock=clock,
            tls=cfg.tls,
            retry_ledger=self._retry_ledger,
        )
        self.hub = Hub(
            node_id=address,
            state=self.state,
            replica=self.replica,
            clock=clock,
            lease_s=cfg.lease_s,
            loads=1,
        )
        orders = HttpEngineOrders(session=session, order_session=order_session)
        self.registry = Registry(
            node_id=address,
            state=self.state,
            replica=self.replica,
            commands=self.commands,
            clock=clock,
            heartbeat_s=cfg.backend_heartbeat_s,
            probe=orders.probe,
            has_service=self._has_service,
            trusts_witnesses=self._trusts_witnesses,
        )
        self.membership = ReplicaMembership(
            node_id=address,
            address=address,
            seeds=seeds,
            replica=self.replica,
            commands=self.commands,
            clock=clock,
            tls=cfg.tls,
        )
        self.documents = NumberedDocuments(
            state=self.state,
            replica=self.replica,
            commands=self.commands,
            clock=clock,
            answer_s=cfg.answer_s,
        )
        self._layer_assigner = LayerAssigner(
            state=self.state,
            replica=self.replica,
            clock=clock,
            orders=orders,
            commands=self.commands,
            table=self.table,
            is_fresh=self.hub.is_fresh,
        )
        self._entry_counter = EntryCounter(
            node_id=address,
            state=self.state,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            clock=clock,
            entry_timeout_s=cfg.lease_s,
            replica_timeout_s=2 * cfg.lease_s,
        )
        self._servicer = ControlServicer(
            node_id=address,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            liveness=self.registry,
            clock=clock,
            membership=self.membership,
        )

    def to_peer(self, node_id: str) -> bytes:
        """Return the loads to send to a replica, as soft state beside the log.

        The leader sends the sum without the replica's own loads, a follower sends the
        loads of its own watchers.
        """
        is_leader = self.replica.role is Role.LEADER
        aggregator = self.hub.load_aggregator
        loads = (
            aggregator.total(exclude=node_id) if is_leader else aggregator.local_total()
        )
        return loads.SerializeToString()

    def from_peer(self, node_id: str, data: bytes) -> None:
        """Process the loads that another replica sent."""
        aggregator = self.hub.load_aggregator
        if self.replica.role is not Role.LEADER:
            # The leader's sum includes the loads of the other followers.
            aggregator.retain([])
        aggregator.receive(node_id, data)

    def table(self) -> RouteTable:
        """Return the current route table; each document is parsed only once."""
        document = self.state.document
        if document.number != self._table.number:
            self._table = read_route_table(decompress(document.content))
        return self._table

    def _trusts_witnesses(self, service: str) -> bool:
        """Return whether entries detect lost engines of a service early."""
        table = self.table()
        if table is not self._detection_table:
            self._detection_table = table
            self._early_services = frozenset(
                name for name in table.services if detects_early(table, name)
            )
        return service in self._early_services

    def _has_service(self, name: str) -> bool:
        table = self.table()
        return not table.number or name in table.services

    async def start(self) -> None:
        """Start the server for replicas and entries.

        Raises:
            OSError: If an address cannot be bound.
        """
        cfg = self._cfg
        self._server, _ = new_server(f"{cfg.ip}:{cfg.internal_port}", tls=cfg.tls)
        wire_pb2_grpc.add_ReplicationServicer_to_server(
            ReplicationServicer(replica=self.replica), self._server
        )
        wire_pb2_grpc.add_ControlServicer_to_server(self._servicer, self._server)
        await self._server.start()

    async def run(self) -> None:
        """Run the replica and its services until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.replica.run())
            group.create_task(self._retry_ledger.run())
            group.create_task(self._entry_counter.run())
            group.create_task(self.registry.run())
            group.create_task(self.membership.run())
            group.create_task(self._layer_assigner.run())
            group.create_task(self._serve_http())

    def follow_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds that this replica contacts to join the group.

        Args:
            seeds: HTTP addresses of the seed replicas.
        """
        port = self._cfg.internal_port
        self.membership.follow_seeds([internal_address(seed, port) for seed in seeds])

    async def stop(self) -> None:
        """Transfer leadership, then stop the servers.

        Watchers reconnect to other replicas.
        """
        self._stopping = True
        await self.replica.transfer_leadership()
        if self._server is not None:
            await self._server.stop(SERVER_GRACE_S)
        if self._http_runner is not None:
            await self._http_runner.cleanup()
        self.hub.close()
        await self.commands.close()

    def is_ready(self) -> bool:
        """Return whether this replica counts towards a majority and is up to date.

        A replica with an empty disk reads the log before it may vote. Until then, the
        loss of another replica could take the majority away.
        """
        return not self._stopping and self.replica.may_vote and self.hub.is_fresh()

    async def _serve_http(self) -> None:
        async def put_document(number: int, content: bytes) -> None:
            await self.documents.put(number, compress(content))

        async def get_document() -> bytes:
            document = await self.documents.newest()
            return decompress(document.content) if document.number else b"{}"

        routes = control_routes(
            put_document=put_document,
            get_document=get_document,
            registry=self.registry,
            heartbeat_address=self._cfg.http,
        )
        self._http_runner = await start_http(
            self._cfg.http, routes, self.is_ready, max_body_bytes=MAX_DOCUMENT_BYTES
        )


def internal_address(seed: str, port: int) -> str:
    """Return the gRPC address of the replica with the HTTP address ``seed``."""
    return f"{seed.rpartition(':')[0]}:{port}"


async def run_direct_control(
    cfg: DirectControlSettings, *, reload: Callable[[], DirectControlSettings]
) -> int:
    """Run a control replica until SIGTERM.

    Args:
        cfg: Settings.
        reload: Reloads the settings; only the new seeds take effect.

    Returns:
        Exit code of the process.
    """
    setup_logging(cfg.log_level, cfg.name)
    async with (
        aiohttp.ClientSession(connector=CleanConnector()) as session,
        new_session(keeps_connections=False) as order_session,
    ):
        daemon = DirectControl(
            cfg=cfg,
            clock=SystemClock(),
            session=session,
            order_session=order_session,
        )
        await daemon.start()
        logger.info("control replica %s listens on %s", cfg.name, cfg.http)
        return await run_until_stopped(
            tasks={"control": daemon.run()},
            stop_steps=[StopStep("stop serving", daemon.stop)],
            stop_timeout_s=shutdown_timeout_s(cfg.killed_after_s, cfg.stop_timeout_s),
            late_step_timeout_s=late_step_timeout_s(cfg.killed_after_s),
            reload=lambda: daemon.follow_seeds(reload().seeds),
        )
