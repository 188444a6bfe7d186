"""Definitions of the metrics of all daemons, with a fixed set of labels each."""

__all__ = [
    "METRICS",
    "OK",
    "Counter",
    "Gauge",
    "Histogram",
    "Metrics",
    "priority_label",
]

import aioprometheus
from aioprometheus.metricdict import MetricDict

from wigeonscale.errors import ErrorKind

# Values of the label "kind" besides the error kinds: no error, and an unknown kind,
# which a peer of a newer version may send.
OK = "ok"
OTHER_KIND = "other"
_KINDS = frozenset({OK, *ErrorKind})
# Priorities from this one on have one common label.
MAX_PRIORITY_LABEL = 9
INTERRUPTED_LABEL = "interrupted"

# Seconds. The burn report selects its objectives from these bounds.
LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.042,
    0.1,
    0.25,
    0.5,
    1.1,
    2.5,
    5.0,
    10.0,
    30.0,
)


class _CompactValues(MetricDict):
    """Values of a collector, with keys copied to their exact size.

    A key as orjson returns it keeps a buffer of 4 KB allocated, which amounts to 120 MB
    per metric for 30,000 organisations.
    """

    def __setitem__(self, key, value):
        key = self.__keytransform__(key)
        if key not in self.store and isinstance(key, bytes):
            key = bytes(memoryview(key))
        self.store[key] = value


class _Metric:
    """Collector with a fixed set of label names."""

    _collector_type: type[aioprometheus.collectors.Collector]

    def __init__(
        self,
        *,
        name: str,
        doc: str,
        registry: aioprometheus.Registry,
        labels: tuple[str, ...] = (),
        **options: object,
    ):
        self.name = f"wigeonscale_{name}"
        self._labels = frozenset(labels)
        self._collector = self._collector_type(
            self.name, doc, registry=registry, **options
        )
        self._collector.values = _CompactValues()

    def _check(self, labels: dict[str, str]) -> dict[str, str]:
        if labels.keys() != self._labels:
            raise ValueError(
                f"metric {self.name}: labels {sorted(labels)} given,"
                f" {sorted(self._labels)} allowed"
            )
        if "kind" in labels:
            labels["kind"] = _kind_label(labels["kind"])
        return labels


def _kind_label(kind: str) -> str:
    if not kind:
        return OK
    return str(kind) if kind in _KINDS else OTHER_KIND


def priority_label(priority: int) -> str:
    """Return the label of a priority, one of ten; of interrupted streams an eleventh.

    Example:
        >>> priority_label(2), priority_label(300), priority_label(-1)
        ('2', '9', 'interrupted')
    """
    if priority < 0:
        return INTERRUPTED_LABEL
    return str(min(priority, MAX_PRIORITY_LABEL))


class Counter(_Metric):
    """Monotonically increasing count."""

    _collector_type = aioprometheus.Counter

    def add(self, amount: float = 1, **labels: str) -> None:
        """Add to the count.

        Args:
            amount: Increment; must not be negative.
            **labels: A value for each label of the metric.

        Raises:
            ValueError: If a label is missing or unknown, or the amount negative.
        """
        self._collector.add(self._check(labels), amount)

    def value(self, **labels: str) -> float:
        """Return the count for the labels; 0 if nothing was counted."""
        return self._collector.values.get(self._check(labels), 0)


class Gauge(_Metric):
    """Value that can increase and decrease."""

    _collector_type = aioprometheus.Gauge

    def set(self, value: float, **labels: str) -> None:
        """Set the value.

        Args:
            value: New value.
            **labels: A value for each label of the metric.

        Raises:
            ValueError: If a label is missing or unknown.
        """
        self._collector.set(self._check(labels), value)

    def value(self, **labels: str) -> float:
        """Return the value for the labels; 0 if none was set."""
        return self._collector.values.get(self._check(labels), 0)


class Histogram(_Metric):
    """Distribution of observed values over fixed buckets."""

    _collector_type = aioprometheus.Histogram

    def observe(self, value: float, **labels: str) -> None:
        """Record one observation.

        Args:
            value: Observed value.
            **labels: A value for each label of the metric.

        Raises:
            ValueError: If a label is missing or unknown.
        """
        self._collector.observe(self._check(labels), value)

    def count(self, **labels: str) -> int:
        """Return the number of observations for the labels."""
        found = self._collector.values.get(self._check(labels))
        return int(self._collector.get(labels)["count"]) if found is not None else 0


class Metrics:
    """The metrics of one process.

    Label values are limited as well: organisations of the current document, command
    names, enumerated causes, and error kinds, with an empty kind counted as ``ok`` and
    an unknown one as ``other``. No histogram has the organisation as a label: tens of
    thousands of organisations would take hundreds of megabytes. The burn report covers
    the service levels of each organisation.

    Attributes:
        registry: Registry rendered at ``/metrics``.

    Notes:
        One update takes a few microseconds. Code that handles tokens should update a
        counter once per batch, by the size of the batch.
    """

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._make_caller_metrics()
        self._make_agent_metrics()
        self._make_control_metrics()
        self._make_class_metrics()

    def _make_caller_metrics(self) -> None:
        self.requests = self._counter(
            "requests_total",
            "Requests answered, by error kind ('ok' for none).",
            "organisation",
            "kind",
        )
        self.first_token_s = self._histogram(
            "first_token_seconds", "From request to first token."
        )
        self.token_gap_s = self._histogram(
            "token_gap_seconds", "Between tokens of one answer."
        )
        self.request_s = self._histogram(
            "request_seconds", "From request to end of answer."
        )
        self.tokens = self._counter(
            "tokens_total", "Tokens written to callers.", "organisation"
        )
        self.open_streams = self._gauge("open_streams", "Answers being written.")
        self.retries = self._counter(
            "retries_total", "Dispatches tried again, by cause.", "kind"
        )
        self.reserved_retries = self._counter(
            "reserved_retries_total",
            "Retries that control reserved for this entry.",
        )
        self.recovered_streams = self._counter(
            "recovered_streams_total",
            "Streams of lost engines moved on, by way (detour, same-domain,"
            " other-domain); services with traffic classes only.",
            "way",
        )
        self.incomplete_responses = self._counter(
            "incomplete_responses_total",
            "Streams that ended without their end after the caller had a part, by cause"
            " ('given-up': this entry ended the last run; 'broken': it broke;"
            " 'deadline', 'caller-left', 'internal').",
            "cause",
        )
        self.attaches = self._counter(
            "attaches_total", "Answers taken up again after a silent connection."
        )
        self.refused_connections = self._counter(
            "refused_connections_total",
            "Connections of callers refused, as this entry has most of the traffic and"
            " no processor time, or too few descriptors.",
        )
        # Priorities are those of the routes and organisations of the configuration.
        self.capacity_waits = self._counter(
            "capacity_waits_total",
            "Generations that waited for capacity, by priority and outcome"
            " ('admitted', 'rejected', 'cancelled' if the caller left). Interrupted"
            " streams are a priority of their own; 'full' if they were sent without"
            " room, 'no-path' if all paths were lost.",
            "priority",
            "outcome",
        )

    def _make_agent_metrics(self) -> None:
        self.dispatches = self._counter(
            "dispatches_total", "Dispatches ended, by error kind.", "kind"
        )
        self.running = self._gauge("running", "Requests being worked on.")
        self.queued = self._gauge("queued", "Requests waiting for a slot.")
        self.iterations = self._counter(
            "iterations_total", "Engine iterations of the own stage."
        )
        self.iteration_s = self._histogram(
            "iteration_seconds", "One iteration through the whole chain."
        )
        self.repairs = self._counter(
            "repairs_total", "Streams taken over by a new epoch, by result.", "kind"
        )
        self.orders = self._counter(
            "orders_total", "Orders received, by error kind.", "kind"
        )

    def _make_control_metrics(self) -> None:
        self.crashing_requests = self._gauge(
            "crashing_requests",
            "Requests refused since backend servers crash under them.",
        )
        self.crashing_prompt_parts = self._gauge(
            "crashing_prompt_parts",
            "Parts of prompts refused since backend servers crash under them.",
        )
        self.lease_valid = self._gauge("lease_valid", "1 while the lease holds.")
        self.revision = self._gauge("revision", "Configuration revision in force.")
        self.reconnects = self._counter(
            "control_reconnects_total", "Watch streams opened again, by cause.", "cause"
        )
        self.commands = self._counter(
            "commands_total", "Commands committed, by type and kind.", "command", "kind"
        )
        self.commit_s = self._histogram(
            "commit_seconds", "From proposal to applied command."
        )
        self.watchers = self._gauge("watchers", "Watch streams open here.")
        self.leading = self._gauge("leading", "1 while this replica leads.")
        self.term = self._gauge("term", "Current term of the replica.")
        self.applied_index = self._gauge("applied_index", "Last applied log index.")
        self.incarnations_ended = self._counter(
            "incarnations_ended_total", "Agents declared gone, by cause.", "cause"
        )

    def _make_class_metrics(self) -> None:
        self.class_reserve = self._gauge(
            "class_reserve",
            "Share of the own domain's capacity left to more urgent classes.",
            "priority",
        )
        self.class_admissions = self._counter(
            "class_admissions_total",
            "Generations sent for the first time, and interrupted streams that waited"
            " and got room.",
            "priority",
        )
        self.capacity_rejections = self._counter(
            "capacity_rejections_total",
            "Generations rejected for lack of capacity, by priority and basis of the"
            " Retry-After (release-rate, default).",
            "priority",
            "basis",
        )

    def _counter(self, name: str, doc: str, *labels: str) -> Counter:
        return Counter(name=name, doc=doc, labels=labels, registry=self.registry)

    def _gauge(self, name: str, doc: str, *labels: str) -> Gauge:
        return Gauge(name=name, doc=doc, labels=labels, registry=self.registry)

    def _histogram(self, name: str, doc: str, *labels: str) -> Histogram:
        return Histogram(
            name=name,
            doc=doc,
            labels=labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )


METRICS = Metrics()
