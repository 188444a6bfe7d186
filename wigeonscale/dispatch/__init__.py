"""Dispatch of requests from an entry to the agents of backend servers."""

__all__ = [
    "AgentGoneError",
    "AgentLinks",
    "Answer",
    "AnswerRecord",
    "Claims",
    "CrashGuard",
    "DispatchStream",
    "DispatchTransport",
    "Dispatcher",
    "KeepaliveLimits",
    "Selection",
    "Target",
    "TargetSelector",
    "Work",
    "new_dispatch_id",
]

from wigeonscale.dispatch.answer import Answer
from wigeonscale.dispatch.attempts import Dispatcher
from wigeonscale.dispatch.claims import Claims, Selection, TargetSelector
from wigeonscale.dispatch.crashing import CrashGuard
from wigeonscale.dispatch.failures import AgentGoneError
from wigeonscale.dispatch.keepalive import KeepaliveLimits
from wigeonscale.dispatch.links import AgentLinks
from wigeonscale.dispatch.stream import DispatchStream
from wigeonscale.dispatch.targets import AnswerRecord, Target
from wigeonscale.dispatch.transport import DispatchTransport
from wigeonscale.dispatch.work import Work, new_dispatch_id
