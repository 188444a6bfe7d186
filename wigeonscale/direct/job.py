"""A routed request, and the context that all requests of an entry share."""

__all__ = ["EntryContext", "Job"]

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonscale.crashes import CrashTracker, prompt_part_key, request_fingerprint
from wigeonscale.direct.admission_queue import AdmissionQueue
from wigeonscale.direct.backend_tracker import BackendTracker
from wigeonscale.direct.class_demand import ClassDemandTracker
from wigeonscale.direct.fleet import Fleet
from wigeonscale.direct.interrupted import InterruptedStreams
from wigeonscale.direct.notices import Notices
from wigeonscale.direct.rate_limits import BackendRateLimits
from wigeonscale.direct.recovery_plans import RecoveryPlans
from wigeonscale.direct.retry_budget import SharedRetryBudget
from wigeonscale.direct.stalls import StallDetector
from wigeonscale.ports import Clock
from wigeonscale.ports.exchange import BackendCall, CallerRequest, Exchange
from wigeonscale.ports.orders import EngineOrders
from wigeonscale.routes import Organisation, Route, Service

# Prompts consist of a few parts. The limit bounds what one request can add to logs and
# records.
MAX_PROMPT_PARTS = 32


def no_classes(service: str) -> bool:
    """Return that a service has no traffic classes."""
    return False


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryContext:
    """Components that all requests of one entry share.

    Attributes:
        exchange: Port to the backend servers.
        tracker: Load and health of the backend servers.
        budget: Limits retries.
        clock: Clock port.
        domain: The entry's own failure domain.
        fleet: Returns the current backend servers.
        entry_count: Returns the number of entries with similar traffic.
        suspect: Reports to control that a backend server does not respond.
        rng: Source of randomness for jitter of Retry-After.
        orders: Port for orders to engines.
        stalls: Detects stalled generations and aborts or reroutes them.
        admission_queue: Requests that wait for engine capacity.
        crashes: Requests and prompt parts that are rejected because they crash backend
            servers.
        notices: Shutdown, rate limit and Retry-After notices of backend servers.
        limits: This entry's share of the rate limits of backend servers.
        class_demand: Demand by traffic class, of this entry and of all.
        has_classes: Returns whether a service, given by name, has traffic classes.
        recovery: Plans for the streams of lost engines.
        interrupted: Interrupted streams that wait for room.
    """

    exchange: Exchange
    tracker: BackendTracker
    budget: SharedRetryBudget
    clock: Clock
    domain: str
    fleet: Callable[[], Fleet]
    entry_count: Callable[[], int]
    suspect: Callable[[str], None]
    rng: random.Random
    orders: EngineOrders
    stalls: StallDetector
    admission_queue: AdmissionQueue
    crashes: CrashTracker
    notices: Notices
    limits: BackendRateLimits
    class_demand: ClassDemandTracker
    has_classes: Callable[[str], bool] = no_classes
    recovery: RecoveryPlans = field(default_factory=RecoveryPlans)
    interrupted: InterruptedStreams = field(default_factory=InterruptedStreams)


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request with its route and service.

    Attributes:
        req: The caller's request.
        route: Its route.
        service: Service that handles it.
        organisation: The caller's organisation; None if there is none.
        deadline_at: Local time by which the final response must be sent.
    """

    req: CallerRequest
    route: Route
    service: Service
    organisation: Organisation | None
    deadline_at: float

    @property
    def priority(self) -> int:
        """Priority at the backend servers; 0 is the highest."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    @property
    def organisation_name(self) -> str:
        """Name of the caller's organisation; empty if there is none."""
        return self.organisation.name if self.organisation is not None else ""

    @property
    def fingerprint(self) -> bytes:
        """Hash that is the same for the same request under another id."""
        return request_fingerprint(
            caller=self.organisation_name,
            method=self.req.method,
            path=self.req.path,
            body=self.req.body,
        )

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Ids of the parts of the prompt that other requests may share.

        The last part belongs to the request or to its session, so it is not included.
        """
        return tuple(dict.fromkeys(self.req.prompt_parts[:-1]))[:MAX_PROMPT_PARTS]

    @property
    def part_keys(self) -> tuple[bytes, ...]:
        """Keys of these parts in crash records."""
        return tuple(
            prompt_part_key(self.service.name, part_id) for part_id in self.part_ids
        )

    def call(
        self, *, now: float, address: str, backend_id: str, **fields
    ) -> BackendCall:
        """Return the call for one send of the request.

        Args:
            now: Local time.
            address: Address of the backend server.
            backend_id: Expected name of the backend server.
            **fields: Other fields of the call.
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
