"""Builds and runs the agent daemon from its components."""

__all__ = ["run_agent"]

import functools

import aiohttp

from wigeonscale.adapters.channels import new_server, open_channel
from wigeonscale.adapters.engine_http import HttpEngine
from wigeonscale.adapters.health import start_http
from wigeonscale.adapters.logs import setup_logging
from wigeonscale.adapters.service_http import HttpService, single_attempt_session
from wigeonscale.agent import Agent, BackendState, OrderExecutor
from wigeonscale.config import AgentSettings
from wigeonscale.daemons.runtime import StopStep, run_until_stopped
from wigeonscale.membership import ControlClient
from wigeonscale.ports import SystemClock
from wigeonscale.wire import wire_pb2 as wire
from wigeonscale.wire import wire_pb2_grpc


async def run_agent(cfg: AgentSettings) -> int:
    """Run an agent until SIGTERM.

    Args:
        cfg: Validated settings.

    Returns:
        The exit code.

    Raises:
        OSError: If an address cannot be bound.
    """
    setup_logging(cfg.log_level, cfg.name)
    async with single_attempt_session() as session:
        return await _run(cfg, session)


async def _run(cfg: AgentSettings, session: aiohttp.ClientSession) -> int:
    clock = SystemClock()
    is_engine = cfg.kind == "engine"
    engine = HttpEngine(url=cfg.backend, session=session) if is_engine else None
    service = None if is_engine else HttpService(url=cfg.backend, session=session)
    server, address = new_server(cfg.grpc, tls=cfg.tls)
    state = BackendState(
        base=_base_announcement(cfg, address),
        engine=engine,
        service=service,
        clock=clock,
        probe_s=cfg.heartbeat_s,
    )
    orders = OrderExecutor(state=state, engine=engine, floor=lambda: control.floor())
    control = ControlClient(
        node_id=cfg.name,
        role="agent",
        addresses=cfg.control,
        clock=clock,
        http_address=cfg.http,
        announce=state.announcement,
        on_order=orders.execute,
        on_ended=state.renew_incarnation,
        lease_s=cfg.lease_s,
        heartbeat_s=cfg.heartbeat_s,
        tls=cfg.tls,
    )
    agent = Agent(
        cfg=cfg,
        control=control,
        clock=clock,
        state=state,
        dial=functools.partial(open_channel, tls=cfg.tls),
        engine=engine,
        service=service,
    )
    state.on_changed = agent.announcement_changed
    wire_pb2_grpc.add_AgentServicer_to_server(agent.servicer, server)
    await state.probe()
    await server.start()
    http_runner = await start_http(
        cfg.http, [], lambda: control.lease_valid() and not state.leaving
    )
    try:
        return await run_until_stopped(
            tasks={
                "control": control.run(),
                "backend": state.watch(),
                "agent": agent.run(),
            },
            stop_steps=[
                StopStep("leave", agent.stop_accepting),
                StopStep("drain", agent.drain, agent.abort),
            ],
            stop_timeout_s=cfg.stop_timeout_s,
        )
    finally:
        await server.stop(grace=0.5)
        await agent.close()
        await http_runner.cleanup()


def _base_announcement(cfg: AgentSettings, address: str) -> wire.Backend:
    return wire.Backend(
        agent_id=cfg.name,
        address=address,
        domain=cfg.domain,
        region=cfg.region,
        kind=wire.ENGINE if cfg.kind == "engine" else wire.SERVICE,
        service=cfg.service,
    )
