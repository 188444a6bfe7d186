"""Watching control: configuration, members, lease and commands."""

__all__ = ["Backoff", "Change", "ControlClient", "MembersView", "within"]

from wigeonscale.membership.backoff import Backoff
from wigeonscale.membership.client import ControlClient
from wigeonscale.membership.knowledge import Change
from wigeonscale.membership.members import MembersView
from wigeonscale.membership.timeouts import within
