"""The entry: callers' HTTP, rules, limits and answers."""

__all__ = ["CallerServer", "EntryLimits", "EntryService", "MemberPlaces", "ServerNames"]

from wigeonscale.entry.app import CallerServer
from wigeonscale.entry.places import MemberPlaces
from wigeonscale.entry.server_names import ServerNames
from wigeonscale.entry.service import EntryLimits, EntryService
