"""Aggregates the load that all entries put on each backend server.

Load pattern: many entries, each with a few requests in progress. The requests of one
entry say little about the load of an engine, and the engine's own report is outdated
and has to be polled. Entries know what they have sent, so each reports it with its
heartbeats. Replicas exchange sums with the messages of the replicated log that they
send anyway, and each entry gets the sum over all entries with its next lease grant, at
most half a second old. The sums are soft state: nothing is committed, and outdated
reports are ignored.
"""

__all__ = ["LoadAggregator"]

import math
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from wigeonscale.control.watcher import Watcher
from wigeonscale.limits import add_ages, older_by, share_weights
from wigeonscale.ports import Clock
from wigeonscale.wire import wire_pb2 as wire

# Entries report their load with each heartbeat, every half second by default.
MAX_LOAD_AGE_S = 2.0
MS_PER_S = 1000.0
# A sum that a field of a message cannot hold would end the exchange with all peers.
MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
CLASS_COUNTS = ("arrived", "admitted", "rejected", "waiting", "released", "returning")


class LoadAggregator:
    """Sums the loads of the entries attached to this replica and to others.

    Args:
        watchers: Open watch streams of this replica; a live collection.
        clock: Time source.

    Notes:
        A message has about 25 bytes per backend server with requests and per service.
    """

    def __init__(self, *, watchers: Iterable[Watcher], clock: Clock):
        self._watchers = watchers
        self._clock = clock
        # Loads reported by other replicas, by node id, with their time of arrival. The
        # leader holds those of all followers, a follower holds the leader's sum.
        self._peer_loads: dict[str, tuple[float, wire.Loads]] = {}

    def local_total(self) -> wire.Loads:
        """Return the sum over the entries attached to this replica."""
        now = self._clock.now()
        return _sum(
            (watcher.loads, now - watcher.last_message_at)
            for watcher in self._watchers
            if watcher.loads is not None
            and watcher.last_message_at >= now - MAX_LOAD_AGE_S
        )

    def total(self, *, exclude: str = "") -> wire.Loads:
        """Return the sum over all entries known to this replica.

        Args:
            exclude: Node id of a replica whose entries are not counted.
        """
        now = self._clock.now()
        others = [
            (loads, now - received_at)
            for node_id, (received_at, loads) in self._peer_loads.items()
            if received_at >= now - MAX_LOAD_AGE_S and node_id != exclude
        ]
        return _sum([(self.local_total(), 0.0), *others])

    def receive(self, node_id: str, data: bytes) -> None:
        """Store the loads that another replica reports for the entries of others.

        Args:
            node_id: Node id of the replica.
            data: Serialised ``Loads`` message; ignored if it cannot be parsed.
        """
        try:
            loads = wire.Loads.FromString(data)
        except DecodeError:
            return
        self._peer_loads[node_id] = self._clock.now(), loads

    def retain(self, node_ids: Iterable[str]) -> None:
        """Drop the loads of all replicas but these.

        Args:
            node_ids: Node ids of the replicas that sent messages in this term.
        """
        kept = set(node_ids)
        self._peer_loads = {
            name: update for name, update in self._peer_loads.items() if name in kept
        }


def _sum(all_loads: Iterable[tuple[wire.Loads, float]]) -> wire.Loads:
    """Sum loads, each given with its age in seconds."""
    loads_by_id: dict[str, wire.Load] = {}
    sends_by_name: dict[str, wire.ServiceSends] = {}
    limits_by_id: dict[str, wire.NamedLimit] = {}
    classes_by_key: dict[tuple[str, int, str], wire.ClassDemand] = {}
    report_ages: list[int] = []
    tellers = 0
    for loads, age_s in all_loads:
        tellers = _add(tellers, loads.tellers)
        ages = add_ages(report_ages, older_by(loads.report_ages, age_s))
        report_ages = [_add(count, 0) for count in ages]
        for load in loads.loads:
            total = loads_by_id.setdefault(load.backend_id, wire.Load())
            total.backend_id = load.backend_id
            total.running = _add(total.running, load.running)
            total.token_layers = _add(
                total.token_layers, load.token_layers, limit=MAX_INT64
            )
        for sends in loads.sends:
            count = sends_by_name.setdefault(sends.service, wire.ServiceSends())
            count.service = sends.service
            count.requests = _add(count.requests, sends.requests)
            count.further = _add(count.further, sends.further)
        for limit in loads.limits:
            merged = limits_by_id.setdefault(limit.backend_id, wire.NamedLimit())
            _merge_limit(merged, limit, int(age_s * MS_PER_S))
        for demand in loads.classes:
            key = demand.service, demand.priority, demand.domain
            _add_class(classes_by_key.setdefault(key, wire.ClassDemand()), demand)
    for limit in limits_by_id.values():
        _drop_non_sharers(limit)
    return wire.Loads(
        loads=loads_by_id.values(),
        sends=sends_by_name.values(),
        limits=limits_by_id.values(),
        tellers=tellers,
        classes=classes_by_key.values(),
        report_ages=report_ages,
    )


def _add_class(total: wire.ClassDemand, demand: wire.ClassDemand) -> None:
    total.service = demand.service
    total.priority = demand.priority
    total.domain = demand.domain
    for name in CLASS_COUNTS:
        setattr(total, name, _add(getattr(total, name), getattr(demand, name)))


def _add(first: int, second: int, *, limit: int = MAX_INT32) -> int:
    """Return a sum, bounded to what a field of a message can hold."""
    return max(-limit, min(limit, first + second))


def _merge_limit(
    merged: wire.NamedLimit, update: wire.NamedLimit, elapsed_ms: int
) -> None:
    """Merge one report of a limit.

    The newest answer of the backend server wins, whichever entry received it.
    """
    merged.backend_id = update.backend_id
    _set_demands(merged, _demands(merged) | _demands(update))
    if not update.HasField("age_ms"):
        return
    age_ms = _add(update.age_ms, elapsed_ms, limit=MAX_INT64)
    if merged.HasField("age_ms") and merged.age_ms <= age_ms:
        return
    merged.age_ms = age_ms
    if update.HasField("per_s") and math.isfinite(update.per_s):
        merged.per_s = update.per_s
    else:
        merged.ClearField("per_s")


def _drop_non_sharers(limit: wire.NamedLimit) -> None:
    """Drop entries without a share.

    Otherwise hundreds of names would be sent twice a second.
    """
    if limit.HasField("per_s"):
        demands = _demands(limit)
        kept = share_weights(limit.backend_id, limit.per_s, demands)
        _set_demands(limit, {name: demands[name] for name in kept})


def _demands(limit: wire.NamedLimit) -> dict[str, int]:
    return {each.entry: each.requests for each in limit.demands}


def _set_demands(limit: wire.NamedLimit, demands: dict[str, int]) -> None:
    del limit.demands[:]
    for name, requests in sorted(demands.items()):
        limit.demands.add(entry=name, requests=requests)
