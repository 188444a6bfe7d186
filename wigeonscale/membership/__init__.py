"""Client of the control plane: configuration, members, lease and commands."""

__all__ = [
    "Backoff",
    "Change",
    "ControlClient",
    "MembersView",
    "hold_retry_share_command",
    "known_crashes",
    "record_crashes_command",
    "reserve_retries_command",
    "with_timeout",
]

from wigeonscale.membership.backoff import Backoff
from wigeonscale.membership.client import ControlClient
from wigeonscale.membership.crash_messages import known_crashes, record_crashes_command
from wigeonscale.membership.members import MembersView
from wigeonscale.membership.retry_messages import (
    hold_retry_share_command,
    reserve_retries_command,
)
from wigeonscale.membership.timeouts import with_timeout
from wigeonscale.membership.watch_state import Change
