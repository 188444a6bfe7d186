"""Backend servers known to an entry, by service."""

__all__ = ["BackendServer", "Fleet", "read_fleet", "replaced_incarnations"]

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.layers import LayerRange
from wigeonscale.wire import wire_pb2 as wire


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        backend_id: Name of the incarnation; changes with each start.
        service: Name of its service.
        address: Its listen address, ``ip:port``.
        domain: Its failure domain.
        accelerator: Kind of accelerator; empty for a plain service.
        layers: Layers that it holds; empty for none.
        slots: Number of requests that it runs concurrently.
        is_silent: Whether control has received no recent heartbeat from it.
        may_go_on: Whether nothing but its silence suggests that it has ended.
        incarnation: Number of its incarnation, as counted by control.
        started_ms: Its start time in Unix milliseconds; 0 if unknown.
        slowness: Factor by which it is slower than usual.
    """

    backend_id: str
    service: str
    address: str
    domain: str
    accelerator: str = ""
    layers: LayerRange = LayerRange(0, 0)
    slots: int = 1
    is_silent: bool = False
    may_go_on: bool = False
    incarnation: int = 1
    started_ms: int = 0
    slowness: int = 1

    @property
    def name(self) -> str:
        """Name that the server gives itself; may stay the same after a restart."""
        if not self.started_ms:
            return self.backend_id
        return self.backend_id.removesuffix(_suffix(self.started_ms))


@dataclass(frozen=True, slots=True)
class Fleet:
    """Backend servers that may get new requests, and draining ones.

    Attributes:
        by_service: Servers that may get new requests, by service.
        by_id: The same, by name of the incarnation.
        by_address: The same, by address.
        draining: Servers that get no new requests and complete the running ones, by
            name of the incarnation.
    """

    by_service: Mapping[str, tuple[BackendServer, ...]] = field(default_factory=dict)
    by_id: Mapping[str, BackendServer] = field(default_factory=dict)
    by_address: Mapping[str, BackendServer] = field(default_factory=dict)
    draining: Mapping[str, BackendServer] = field(default_factory=dict)

    def has_ended(self, backend_id: str) -> bool:
        """Return whether an incarnation has ended, or is gone and not draining.

        One that is only silent may go on. Control of an older version does not tell
        them apart; its silent ones count as ended.
        """
        server = self.by_id.get(backend_id)
        if server is not None:
            return server.is_silent and not server.may_go_on
        return backend_id not in self.draining

    def find(self, backend_id: str) -> BackendServer | None:
        """Return a backend server, draining or not, or None."""
        return self.by_id.get(backend_id) or self.draining.get(backend_id)


def read_fleet(backends: Iterable[wire.Backend]) -> Fleet:
    """Return the fleet from the messages of control.

    Args:
        backends: Announced backend servers.
    """
    servers, draining = [], []
    for each in backends:
        (draining if each.draining else servers).append(_server(each))
    by_service: dict[str, list[BackendServer]] = {}
    for server in servers:
        by_service.setdefault(server.service, []).append(server)
    return Fleet(
        by_service={name: tuple(group) for name, group in by_service.items()},
        by_id={server.backend_id: server for server in servers},
        by_address={server.address: server for server in servers},
        draining={server.backend_id: server for server in draining},
    )


def _server(backend: wire.Backend) -> BackendServer:
    return BackendServer(
        backend_id=_incarnation_name(backend),
        service=backend.service,
        address=backend.address,
        domain=backend.domain,
        accelerator=backend.accelerator,
        layers=LayerRange(
            backend.first_layer, max(backend.first_layer, backend.last_layer + 1)
        ),
        slots=max(1, backend.slots),
        is_silent=backend.silent,
        may_go_on=backend.may_go_on,
        incarnation=backend.incarnation,
        started_ms=backend.started_ms,
        slowness=max(1, backend.slowness),
    )


def replaced_incarnations(
    before: Iterable[wire.Backend], now: Iterable[wire.Backend]
) -> list[str]:
    """Return the incarnations that were replaced by a later one.

    An engine may restart under the same name or address within a second. Its former
    sends get no more events, which otherwise only a timeout would detect.

    Args:
        before: Backend servers announced before.
        now: Backend servers announced now.

    Returns:
        Names of replaced incarnations of ``before``. Those that are only missing from
        ``now`` are left out, because they may still complete their requests.
    """
    names = {backend.agent_id: backend for backend in now}
    addresses = {backend.address: backend for backend in now}
    ended = []
    for backend in before:
        same = names.get(backend.agent_id), addresses.get(backend.address)
        incarnation = _incarnation_name(backend)
        if any(other and _incarnation_name(other) != incarnation for other in same):
            ended.append(incarnation)
    return ended


def _incarnation_name(backend: wire.Backend) -> str:
    if not backend.started_ms:
        return backend.agent_id
    return backend.agent_id + _suffix(backend.started_ms)


def _suffix(started_ms: int) -> str:
    return f"@{started_ms}"
