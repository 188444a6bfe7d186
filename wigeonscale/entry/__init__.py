"""The entry: HTTP server for callers; applies rules and limits, sends answers."""

__all__ = [
    "BackendInstances",
    "CallerServer",
    "EntryLimits",
    "EntryService",
    "MemberSelector",
]

from wigeonscale.entry.app import CallerServer
from wigeonscale.entry.backend_instances import BackendInstances
from wigeonscale.entry.member_selector import MemberSelector
from wigeonscale.entry.service import EntryLimits, EntryService
