"""Watching control: configuration, members, lease and commands."""

__all__ = [
    "Backoff",
    "Change",
    "ControlClient",
    "MembersView",
    "command_of",
    "known_crashes",
    "within",
]

from wigeonscale.membership.backoff import Backoff
from wigeonscale.membership.client import ControlClient
from wigeonscale.membership.crash_messages import command_of, known_crashes
from wigeonscale.membership.knowledge import Change
from wigeonscale.membership.members import MembersView
from wigeonscale.membership.timeouts import within
