"""The entry: callers' HTTP, rules, limits and answers."""

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
