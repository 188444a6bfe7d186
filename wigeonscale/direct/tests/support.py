"""Test harness of an entry: fake backend servers, callers and control."""

import random

from wigeonscale.crashes import CrashTracker
from wigeonscale.direct import (
    AdmissionQueue,
    BackendRateLimits,
    BackendServer,
    BackendTracker,
    ClassDemandTracker,
    EntryContext,
    Fleet,
    Notices,
    SharedRetryBudget,
    StallDetector,
)
from wigeonscale.direct.job import Job
from wigeonscale.direct.stream import relay_stream
from wigeonscale.direct.tests.fakes import (
    FakeExchange,
    FakeOrders,
    FakeReachabilityCheck,
    FakeSink,
)
from wigeonscale.errors import WigeonscaleError
from wigeonscale.layers import LayerRange
from wigeonscale.ports.exchange import (
    CallerRequest,
    CallOutcome,
    ExchangeError,
    FullResponse,
    GenerationSize,
    ResponseHead,
    StreamEvent,
)
from wigeonscale.routes import (
    Accelerator,
    EngineProfile,
    Repeat,
    Route,
    Service,
    Share,
)
from wigeonscale.testing import AsyncTestCase, ManualClock

ENGINE = EngineProfile(
    layers=10,
    layer_mb=100.0,
    token_bytes=1e6,
    activation_bytes=1000.0,
    pipe_mbps=1000.0,
    slots=8,
    step_ms=1.0,
    sequence_ms=0.01,
    context_ms=0.01,
    read_tokens_per_s=100_000.0,
    usual_prompt=100.0,
    usual_answer=20.0,
    accelerators={
        "k": Accelerator(name="k", size_mb=5000.0, pace=1.0, read_factor=1.0)
    },
)


def server(name, service="plain", *, domain="a", layers=None, **fields):
    return BackendServer(
        backend_id=name,
        service=service,
        address=f"{name}:80",
        domain=domain,
        accelerator="k" if layers else "",
        layers=LayerRange(*(layers or (0, 0))),
        slots=4,
        **fields,
    )


def fleet(*servers):
    by_service = {}
    for each in servers:
        by_service.setdefault(each.service, []).append(each)
    return Fleet(
        by_service={name: tuple(group) for name, group in by_service.items()},
        by_id={each.backend_id: each for each in servers},
        by_address={each.address: each for each in servers},
    )


def not_run(**fields):
    return ExchangeError(CallOutcome.NOT_RUN, "refused", status=503, **fields)


def not_sent():
    return ExchangeError(CallOutcome.NOT_SENT, "no connection")


def unknown():
    return ExchangeError(CallOutcome.UNKNOWN, "reset")


def answer(status=200, body=b"whole"):
    return FullResponse(ResponseHead(status, ()), body)


def event(number):
    return StreamEvent(number, b"id: %d\n\n" % number)


class EntryHarness:
    """An entry with fake backend servers and control, in manual time."""

    def __init__(
        self, *servers, slack=100, entry_count=1, domain="a", clock=None, name="entry"
    ):
        self.clock = clock or ManualClock()
        self.exchange = FakeExchange()
        self.tracker = BackendTracker(clock=self.clock)
        self.orders = FakeOrders()
        self.check_reachable = FakeReachabilityCheck(self.clock)
        self.suspected = []
        # Those of the suspected engines that did not answer own probes.
        self.witnessed = []
        self.hinted = []
        self.fleet = fleet(*servers)
        # One-way delay to each failure domain, in seconds.
        self.delays_s = {}
        self.stalls = StallDetector(
            tracker=self.tracker,
            clock=self.clock,
            orders=self.orders,
            fleet=lambda: self.fleet,
            suspect=self.suspected.append,
            witness=self.note_witnessed,
            hint=self.hinted.append,
            check_reachable=self.check_reachable,
            delay_s=lambda domain: self.delays_s.get(domain, 0.0),
        )
        limits = BackendRateLimits(
            name=name, clock=self.clock, entry_count=lambda: entry_count
        )
        self.ctx = EntryContext(
            exchange=self.exchange,
            tracker=self.tracker,
            budget=SharedRetryBudget(
                clock=self.clock,
                ratio=0.0,
                slack=slack,
                window_s=10.0,
                entry_count=lambda: entry_count,
            ),
            clock=self.clock,
            domain=domain,
            fleet=lambda: self.fleet,
            entry_count=lambda: entry_count,
            suspect=self.suspected.append,
            rng=random.Random(1),
            orders=self.orders,
            stalls=self.stalls,
            admission_queue=AdmissionQueue(clock=self.clock),
            crashes=CrashTracker(
                clock=self.clock,
                is_serving=lambda name: name in self.fleet.by_id,
                has_ended=lambda name: self.fleet.has_ended(name),
                rng=random.Random(1),
            ),
            notices=Notices(clock=self.clock, limits=limits),
            limits=limits,
            class_demand=ClassDemandTracker(clock=self.clock, domain=domain),
        )

    def note_witnessed(self, name):
        self.suspected.append(name)
        self.witnessed.append(name)

    def job(
        self,
        repeat=Repeat.SAFE,
        *,
        max_attempts=2,
        resumable=False,
        left_s=1.0,
        service=None,
        body=b"",
        **fields,
    ):
        service = service or Service(name="plain")
        fields.setdefault(
            "generation",
            GenerationSize(prompt_tokens=10, max_tokens=20, expected_tokens=20),
        )
        return Job(
            req=CallerRequest(
                request_id="r1",
                host="h",
                method="POST",
                path="/p",
                headers=(),
                body=body,
                key="",
                arrived_at=self.clock.now(),
                **fields,
            ),
            route=Route(
                name="route",
                host="h",
                prefix="/",
                repeat=repeat,
                timeout_s=left_s,
                shares=(Share(service.name, 1.0),),
                max_attempts=max_attempts,
                resumable=resumable,
            ),
            service=service,
            organisation=None,
            deadline_at=self.clock.now() + left_s,
        )


MODEL = Service(name="model", engine=ENGINE)


def engine(name, first, end, **fields):
    return server(name, "model", layers=(first, end), **fields)


class StreamCase(AsyncTestCase):
    async def prepare(self):
        self.harness = EntryHarness(
            engine("a1", 0, 5),
            engine("a2", 5, 10),
            engine("b1", 0, 5, domain="b"),
            engine("b2", 5, 10, domain="b"),
        )
        self.exchange = self.harness.exchange
        self.sink = FakeSink()

    def relay(self, **fields):
        fields.setdefault("resumable", True)
        job = self.harness.job(Repeat.STREAM, service=MODEL, left_s=20.0, **fields)
        return relay_stream(self.harness.ctx, job, self.sink)

    async def refused(self, **fields):
        try:
            await self.relay(**fields)
        except WigeonscaleError as exc:
            return exc
        self.fail("it was answered")

    def got(self):
        return [int(line[4:]) for line in self.sink.data.split(b"\n\n") if line]

    async def until(self, condition):
        for _ in range(500):
            if condition():
                return
            await self.harness.clock.advance(0.01)
        self.fail("the condition never held")
