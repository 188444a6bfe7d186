"""One request on its way, and what every flow needs."""

__all__ = ["Job", "EntryContext"]

import random
from collections.abc import Callable
from dataclasses import dataclass

from wigeonscale.crashes import CrashBook, request_fingerprint
from wigeonscale.direct.admission_queue import AdmissionQueue
from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.fleet import Fleet
from wigeonscale.direct.notices import Notices
from wigeonscale.direct.rate_limits import BackendRateLimits
from wigeonscale.direct.retry_budget import SharedRetryBudget
from wigeonscale.direct.stalls import StallDetector
from wigeonscale.ports import Clock
from wigeonscale.ports.exchange import BackendCall, CallerRequest, Exchange
from wigeonscale.ports.orders import EngineOrders
from wigeonscale.routes import Organisation, Route, Service


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryContext:
    """What the flows of one entry share.

    Attributes:
        exchange: Port to the backend servers.
        tracker: What is known of them.
        budget: Bounds further sends.
        clock: Clock port.
        domain: The entry's own failure domain.
        fleet: Returns the backend servers as of now.
        entries: Returns how many entries send alike.
        suspect: Tells control that a backend server does not answer.
        rng: Source of randomness, to spread those that are told to come back.
        orders: Port to the engines' orders.
        stalls: Ends the waits of generations that stand still.
        admission_queue: Requests that wait for room at the engines.
        crashes: Which requests are refused since backend servers crash under them.
        notices: What backend servers say of themselves.
        limits: This entry's part of the limits that they name.
    """

    exchange: Exchange
    tracker: BackendTracker
    budget: SharedRetryBudget
    clock: Clock
    domain: str
    fleet: Callable[[], Fleet]
    entries: Callable[[], int]
    suspect: Callable[[str], None]
    rng: random.Random
    orders: EngineOrders
    stalls: StallDetector
    admission_queue: AdmissionQueue
    crashes: CrashBook
    notices: Notices
    limits: BackendRateLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request that was matched.

    Attributes:
        req: The caller's request.
        route: Its route.
        service: Service that shall serve it.
        organisation: The caller's organisation; None for none.
        deadline_at: Local instant of its final answer, whatever has happened.
    """

    req: CallerRequest
    route: Route
    service: Service
    organisation: Organisation | None
    deadline_at: float

    @property
    def priority(self) -> int:
        """Its rank at the backend servers, 0 first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def organisation_name(self) -> str:
        """Name of the caller's organisation; empty for none."""
        return self.organisation.name if self.organisation is not None else ""

    @property
    def fingerprint(self) -> bytes:
        """What it shares with the same request under another id."""
        return request_fingerprint(
            caller=self.organisation_name,
            method=self.req.method,
            path=self.req.path,
            body=self.req.body,
        )

    def call(
        self, *, now: float, address: str, backend_id: str, **fields
    ) -> BackendCall:
        """Return one send of it.

        Args:
            now: Local instant.
            address: Where it goes.
            backend_id: Name that the backend server there must go by.
            **fields: Further fields of the call.
        """
        return BackendCall(
            req=self.req,
            address=address,
            backend_id=backend_id,
            organisation=self.organisation_name,
            priority=self.priority,
            left_s=self.deadline_at - now,
            **fields,
        )
