"""Backend servers as an entry sees them, by service."""

__all__ = ["BackendServer", "Fleet", "read_fleet"]

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wigeonscale.layers import LayerRange
from wigeonscale.wire import wire_pb2 as wire


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One incarnation of a backend server.

    Attributes:
        backend_id: Name of the incarnation.
        service: Service that it belongs to.
        address: Where it listens, ``ip:port``.
        domain: Its failure domain.
        accelerator: Kind of accelerator; empty for a plain service.
        layers: Layers that it holds; empty for none.
        slots: Requests that it runs at once.
        is_silent: Whether control has not heard of it lately.
    """

    backend_id: str
    service: str
    address: str
    domain: str
    accelerator: str = ""
    layers: LayerRange = LayerRange(0, 0)
    slots: int = 1
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class Fleet:
    """Backend servers that may get new work.

    Attributes:
        by_service: Those of each service.
        by_id: All by the name of their incarnation.
        by_address: All by address.
    """

    by_service: Mapping[str, tuple[BackendServer, ...]] = field(default_factory=dict)
    by_id: Mapping[str, BackendServer] = field(default_factory=dict)
    by_address: Mapping[str, BackendServer] = field(default_factory=dict)


def read_fleet(backends: Iterable[wire.Backend]) -> Fleet:
    """Return the fleet of what control told; those that drain are left out.

    Args:
        backends: Announced backend servers.
    """
    servers = [_server(each) for each in backends if not each.draining]
    by_service: dict[str, list[BackendServer]] = {}
    for server in servers:
        by_service.setdefault(server.service, []).append(server)
    return Fleet(
        by_service={name: tuple(group) for name, group in by_service.items()},
        by_id={server.backend_id: server for server in servers},
        by_address={server.address: server for server in servers},
    )


def _server(backend: wire.Backend) -> BackendServer:
    return BackendServer(
        backend_id=backend.agent_id,
        service=backend.service,
        address=backend.address,
        domain=backend.domain,
        accelerator=backend.accelerator,
        layers=LayerRange(
            backend.first_layer, max(backend.first_layer, backend.last_layer + 1)
        ),
        slots=max(1, backend.slots),
        is_silent=backend.silent,
    )
