"""Backend servers as an entry sees them, by service."""

__all__ = ["BackendServer", "Fleet", "read_fleet", "replaced_incarnations"]

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.layers import LayerRange
from wigeonscale.wire import wire_pb2 as wire


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        backend_id: Name of the incarnation: another one after each start.
        service: Service that it belongs to.
        address: Where it listens, ``ip:port``.
        domain: Its failure domain.
        accelerator: Kind of accelerator; empty for a plain service.
        layers: Layers that it holds; empty for none.
        slots: Requests that it runs at once.
        is_silent: Whether control has not heard of it lately.
        incarnation: Number of its incarnation, as control counts.
        started_ms: Its start, Unix milliseconds; 0 where it does not say.
        slowness: Times as long as usual that its work takes.
    """

    backend_id: str
    service: str
    address: str
    domain: str
    accelerator: str = ""
    layers: LayerRange = LayerRange(0, 0)
    slots: int = 1
    is_silent: bool = False
    incarnation: int = 1
    started_ms: int = 0
    slowness: int = 1

    @property
    def name(self) -> str:
        """Name that it gives itself, which it may keep when it starts again."""
        if not self.started_ms:
            return self.backend_id
        return self.backend_id.removesuffix(_suffix(self.started_ms))


@dataclass(frozen=True, slots=True)
class Fleet:
    """Backend servers that may get new work.

    Attributes:
        by_service: Those of each service.
        by_id: All by the name of their incarnation.
        by_address: All by address.
        draining: Those that get no new work but finish what they have, by the name of
            their incarnation.
    """

    by_service: Mapping[str, tuple[BackendServer, ...]] = field(default_factory=dict)
    by_id: Mapping[str, BackendServer] = field(default_factory=dict)
    by_address: Mapping[str, BackendServer] = field(default_factory=dict)
    draining: Mapping[str, BackendServer] = field(default_factory=dict)

    def has_ended(self, backend_id: str) -> bool:
        """Return whether an incarnation is gone, or silent, without leaving."""
        server = self.by_id.get(backend_id)
        if server is not None:
            return server.is_silent
        return backend_id not in self.draining

    def find(self, backend_id: str) -> BackendServer | None:
        """Return a backend server, also one that is leaving, or None."""
        return self.by_id.get(backend_id) or self.draining.get(backend_id)


def read_fleet(backends: Iterable[wire.Backend]) -> Fleet:
    """Return the fleet of what control told.

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
        incarnation=backend.incarnation,
        started_ms=backend.started_ms,
        slowness=max(1, backend.slowness),
    )


def replaced_incarnations(
    before: Iterable[wire.Backend], now: Iterable[wire.Backend]
) -> list[str]:
    """Return the names of incarnations that have ended since a later one is there.

    Load pattern: an engine starts again under its name or address within a second.
    What ran on its former start stands still, and is found by a time limit otherwise.

    Args:
        before: Announced backend servers, as known before.
        now: As known now.

    Returns:
        Incarnations of ``before``. One that is merely gone from ``now`` may be about
        to leave and finish what it has, so it is not among them.
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
