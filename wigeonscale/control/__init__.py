"""Components of the control daemon: watch hub, liveness, placement, admin API."""

__all__ = [
    "Admin",
    "ChangeFeed",
    "Commands",
    "ControlServicer",
    "EntryCounter",
    "Hub",
    "LayerAssigner",
    "Liveness",
    "PlacementLoop",
    "Registry",
    "ReplicaMembership",
    "RetryLedger",
    "Watcher",
    "forward_suspicion",
    "probe_agent",
    "run_claim_expiry",
]

from wigeonscale.control.admin import Admin
from wigeonscale.control.change_feed import ChangeFeed
from wigeonscale.control.claim_expiry import run_claim_expiry
from wigeonscale.control.commands import Commands
from wigeonscale.control.entry_counter import EntryCounter
from wigeonscale.control.hub import Hub
from wigeonscale.control.layer_assigner import LayerAssigner
from wigeonscale.control.liveness import Liveness
from wigeonscale.control.placement_loop import PlacementLoop
from wigeonscale.control.probe import probe_agent
from wigeonscale.control.registry import Registry
from wigeonscale.control.replica_membership import ReplicaMembership
from wigeonscale.control.retry_ledger import RetryLedger
from wigeonscale.control.service import ControlServicer
from wigeonscale.control.suspicion import forward_suspicion
from wigeonscale.control.watcher import Watcher
