"""The agent of a backend server: admits work and executes control's orders."""

__all__ = ["Agent", "BackendState", "OrderExecutor"]

from wigeonscale.agent.agent import Agent
from wigeonscale.agent.backend import BackendState
from wigeonscale.agent.orders import OrderExecutor
