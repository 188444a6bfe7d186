"""The agent beside each backend server: admits work and guards orders."""

__all__ = ["Agent", "BackendState", "OrderExecutor"]

from wigeonscale.agent.agent import Agent
from wigeonscale.agent.backend import BackendState
from wigeonscale.agent.orders import OrderExecutor
