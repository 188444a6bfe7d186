"""Watching control: configuration, members, lease and commands."""

__all__ = [
    "Backoff",
    "Change",
    "ControlClient",
    "MembersView",
    "known_crashes",
    "record_crashes_command",
    "within",
]

from wigeonscale.membership.backoff import Backoff
from wigeonscale.membership.client import ControlClient
from wigeonscale.membership.crash_messages import known_crashes, record_crashes_command
from wigeonscale.membership.knowledge import Change
from wigeonscale.membership.members import MembersView
from wigeonscale.membership.timeouts import within
