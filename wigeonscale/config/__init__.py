"""Settings of the daemons, read from INI files and validated when loaded."""

__all__ = [
    "ROLES",
    "AgentSettings",
    "ControlSettings",
    "DirectControlSettings",
    "DirectEntrySettings",
    "EntrySettings",
    "NodeSettings",
    "Peer",
    "load_settings",
]

from wigeonscale.config.keys import Peer
from wigeonscale.config.load import ROLES, load_settings
from wigeonscale.config.settings import (
    AgentSettings,
    ControlSettings,
    DirectControlSettings,
    DirectEntrySettings,
    EntrySettings,
    NodeSettings,
)
