"""Builds and runs the control daemon, one replica of the control state."""

__all__ = ["ControlDaemon", "run_control"]

import asyncio
import functools
import logging
from collections.abc import Sequence

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.adapters.health import start_http
from wigeonscale.adapters.logs import setup_logging
from wigeonscale.adapters.metrics import METRICS
from wigeonscale.config import ControlSettings
from wigeonscale.control import (
    Admin,
    Commands,
    ControlServicer,
    EntryCounter,
    Hub,
    Liveness,
    PlacementLoop,
    forward_suspicion,
    probe_agent,
    run_claim_expiry,
)
from wigeonscale.daemons.runtime import StopStep, run_until_stopped
from wigeonscale.ports import Clock, SystemClock
from wigeonscale.replication import (
    DiskFolder,
    GrpcTransport,
    Member,
    Replica,
    ReplicaOptions,
    ReplicationServicer,
    Role,
    Transport,
)
from wigeonscale.state import ControlState
from wigeonscale.wire import wire_pb2_grpc

METRICS_INTERVAL_S = 1.0
# Streams of watchers do not end by themselves, so the server closes them.
SERVER_GRACE_S = 0.5

logger = logging.getLogger(__name__)


class ControlDaemon:
    """The components of one control replica.

    Args:
        cfg: Settings.
        clock: Clock port.
        transport: Transport to the other replicas; None for gRPC.
        addresses: Addresses to which commands are sent; None for those of the peers
            in the settings.
    """

    def __init__(
        self,
        *,
        cfg: ControlSettings,
        clock: Clock,
        transport: Transport | None = None,
        addresses: Sequence[str] | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        dial = functools.partial(open_channel, tls=cfg.tls)
        self._transport = transport or GrpcTransport(channel=dial)
        self._stopping = False
        self._server = None
        self._http_runner = None
        self.state = ControlState()
        self.replica = self._new_replica()
        self.commands = Commands(
            replica=self.replica,
            addresses=addresses or [peer.address for peer in cfg.peers],
            clock=clock,
            tls=cfg.tls,
        )
        self.hub = Hub(
            node_id=cfg.name,
            state=self.state,
            replica=self.replica,
            clock=clock,
            lease_s=cfg.lease_s,
            loads=cfg.loads,
        )
        self._liveness = Liveness(
            node_id=cfg.name,
            state=self.state,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            clock=clock,
            down_after_s=cfg.down_after_s,
            lease_s=cfg.lease_s,
            forward_suspicion=functools.partial(
                forward_suspicion, cfg.name, tls=cfg.tls
            ),
            probe=functools.partial(probe_agent, tls=cfg.tls),
        )
        self._liveness_task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the servers for peers, watchers and operators.

        Raises:
            OSError: If an address cannot be bound.
        """
        self._server, _ = new_server(self._cfg.grpc, tls=self._cfg.tls)
        wire_pb2_grpc.add_ReplicationServicer_to_server(
            ReplicationServicer(replica=self.replica), self._server
        )
        servicer = ControlServicer(
            node_id=self._cfg.name,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            liveness=self._liveness,
            clock=self._clock,
        )
        wire_pb2_grpc.add_ControlServicer_to_server(servicer, self._server)
        await self._server.start()
        admin = Admin(
            node_id=self._cfg.name,
            state=self.state,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            token_digest=self._cfg.admin_token_digest,
        )
        self._http_runner = await start_http(
            self._cfg.http,
            admin.routes(),
            self.is_ready,
            tls=self._cfg.tls if self._cfg.https else None,
        )

    def is_ready(self) -> bool:
        """Return whether this replica counts towards a majority and is up to date.

        A replica with an empty disk reads the log before it may vote. Until then, the
        loss of another replica could take the majority away.
        """
        return not self._stopping and self.replica.may_vote and self.hub.is_fresh()

    async def run(self) -> None:
        """Run the replica and its services until cancelled."""
        cfg = self._cfg
        placement = PlacementLoop(
            state=self.state,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            clock=self._clock,
            spares=cfg.spares,
            domain_share=cfg.domain_share,
            settle_s=cfg.settle_s,
            rebuild_after_s=cfg.rebuild_after_s,
            drain_s=cfg.drain_s,
        )
        expiry = run_claim_expiry(
            state=self.state,
            replica=self.replica,
            commands=self.commands,
            clock=self._clock,
            claim_age_s=cfg.claim_age_s,
        )
        entry_counter = EntryCounter(
            node_id=cfg.name,
            state=self.state,
            replica=self.replica,
            hub=self.hub,
            commands=self.commands,
            clock=self._clock,
            entry_timeout_s=cfg.down_after_s,
            replica_timeout_s=cfg.down_after_s + cfg.lease_s,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self.replica.run())
            group.create_task(entry_counter.run())
            group.create_task(placement.run())
            group.create_task(expiry)
            group.create_task(self._update_metrics())
            self._liveness_task = group.create_task(self._liveness.run())

    async def stop(self) -> None:
        """Transfer leadership, then stop the health checks and the servers.

        Watchers reconnect to other replicas.
        """
        self._stopping = True
        await self.replica.transfer_leadership()
        # The streams that this replica closes itself must not count as failures.
        if self._liveness_task is not None:
            self._liveness_task.cancel()
        if self._server is not None:
            await self._server.stop(SERVER_GRACE_S)
        if self._http_runner is not None:
            await self._http_runner.cleanup()
        self.hub.close()
        await self.commands.close()

    def _new_replica(self):
        cfg = self._cfg
        return Replica(
            node_id=cfg.name,
            address=next(p.address for p in cfg.peers if p.name == cfg.name),
            initial_members=[Member(peer.name, peer.address) for peer in cfg.peers],
            folder=DiskFolder(path=cfg.data),
            machine=self.state,
            transport=self._transport,
            clock=self._clock,
            options=ReplicaOptions(
                election_timeout_s=cfg.election_timeout_s,
                heartbeat_s=cfg.heartbeat_s,
                snapshot_entries=cfg.snapshot_entries,
            ),
        )

    async def _update_metrics(self):
        while True:
            METRICS.watchers.set(len(self.hub.watchers))
            METRICS.leading.set(int(self.replica.role is Role.LEADER))
            METRICS.term.set(self.replica.term)
            METRICS.applied_index.set(self.replica.applied_index)
            METRICS.revision.set(self.state.configuration.revision)
            await self._clock.sleep(METRICS_INTERVAL_S)


async def run_control(cfg: ControlSettings) -> int:
    """Run a control replica until SIGTERM.

    Args:
        cfg: Settings.

    Returns:
        Exit code of the process.
    """
    setup_logging(cfg.log_level, cfg.name)
    daemon = ControlDaemon(cfg=cfg, clock=SystemClock())
    await daemon.start()
    logger.info("control replica %s listens on %s", cfg.name, cfg.grpc)
    return await run_until_stopped(
        tasks={"control": daemon.run()},
        stop_steps=[StopStep("stop serving", daemon.stop)],
        stop_timeout_s=cfg.stop_timeout_s,
    )
