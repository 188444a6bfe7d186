"""The control daemon's parts: watch hub, liveness, placement, operators' pages."""

__all__ = [
    "Admin",
    "ChangeFeed",
    "Commands",
    "ControlServicer",
    "EntryCount",
    "Hub",
    "Joining",
    "LayerKeeper",
    "Liveness",
    "PlacementLoop",
    "Registry",
    "Watcher",
    "probe_agent",
    "run_expiry",
    "tell_replica",
]

from wigeonscale.control.admin import Admin
from wigeonscale.control.commands import Commands
from wigeonscale.control.entry_count import EntryCount
from wigeonscale.control.expiry import run_expiry
from wigeonscale.control.feed import ChangeFeed
from wigeonscale.control.hub import Hub
from wigeonscale.control.joining import Joining
from wigeonscale.control.layer_keeper import LayerKeeper
from wigeonscale.control.liveness import Liveness
from wigeonscale.control.placement_loop import PlacementLoop
from wigeonscale.control.probe import probe_agent
from wigeonscale.control.registry import Registry
from wigeonscale.control.service import ControlServicer
from wigeonscale.control.suspicion import tell_replica
from wigeonscale.control.watcher import Watcher
