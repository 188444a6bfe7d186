"""Replicated state machine of the control plane and its commands."""

__all__ = [
    "Change",
    "Chains",
    "Claims",
    "Configuration",
    "ControlState",
    "DEFAULT_INCARNATION",
    "Member",
    "Members",
    "Revision",
]

from wigeonscale.state.chains import Chains
from wigeonscale.state.change import Change
from wigeonscale.state.claims import Claims
from wigeonscale.state.configuration import Configuration, Revision
from wigeonscale.state.members import Member, Members
from wigeonscale.state.state import DEFAULT_INCARNATION, ControlState
