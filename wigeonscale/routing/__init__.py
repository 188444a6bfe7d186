"""Load balancing over backend servers and pipeline replicas."""

__all__ = [
    "Candidate",
    "CandidatePool",
    "Chooser",
    "LoadTable",
    "PrefixView",
    "RetryBudget",
    "prefix_digest",
]

from wigeonscale.routing.budget import RetryBudget
from wigeonscale.routing.chooser import Chooser
from wigeonscale.routing.load import LoadTable
from wigeonscale.routing.prefixes import PrefixView, prefix_digest
from wigeonscale.routing.subset import Candidate, CandidatePool
