"""Requests that an entry sends to backend servers itself, without agents."""

__all__ = [
    "BackendServer",
    "Beliefs",
    "DirectService",
    "Fleet",
    "NamedLimit",
    "Notices",
    "RoomQueue",
    "SendBudget",
    "SendLimits",
    "StallWatch",
    "Surroundings",
    "read_fleet",
    "replaced_starts",
]

from wigeonscale.direct.beliefs import Beliefs
from wigeonscale.direct.budget import SendBudget
from wigeonscale.direct.fleet import (
    BackendServer,
    Fleet,
    read_fleet,
    replaced_starts,
)
from wigeonscale.direct.job import Surroundings
from wigeonscale.direct.notices import Notices
from wigeonscale.direct.room_queue import RoomQueue
from wigeonscale.direct.send_limits import NamedLimit, SendLimits
from wigeonscale.direct.service import DirectService
from wigeonscale.direct.stalls import StallWatch
