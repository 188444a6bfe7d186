"""Names of the lives of backend servers that stand behind agents."""

__all__ = ["BackendInstances"]

from collections.abc import Callable, Iterable

from wigeonscale.membership import MembersView
from wigeonscale.wire import wire_pb2 as wire

SEPARATOR = "/"


class BackendInstances:
    """Tells one life of a backend server from the next.

    An agent outlives its server, and says how often it found it gone; so the server of
    one life is named by the agent, its incarnation and that count.

    Args:
        members: Returns the members now known.
    """

    def __init__(self, *, members: Callable[[], MembersView]):
        self._members = members

    def ids_of(self, agent_ids: Iterable[str]) -> tuple[str, ...]:
        """Return the names of the servers beside some agents, as of now.

        Args:
            agent_ids: The agents; those that are no members are left out.
        """
        backends = self._members().backends
        return tuple(_instance_id(backends[i]) for i in agent_ids if i in backends)

    def is_serving(self, instance_id: str) -> bool:
        """Return whether the agent is there, and does not leave by intent."""
        backend = self._backend(instance_id)
        if backend is None or _agent_part(instance_id) != _agent_part(
            _instance_id(backend)
        ):
            return False
        # It leaves, too, while its server is gone.
        return not backend.draining or instance_id != _instance_id(backend)

    def has_ended(self, instance_id: str) -> bool:
        """Return whether that life of the server is over."""
        backend = self._backend(instance_id)
        return backend is None or instance_id != _instance_id(backend)

    def _backend(self, instance_id: str) -> wire.Backend | None:
        agent_id = instance_id.rsplit(SEPARATOR, 2)[0]
        return self._members().backends.get(agent_id)


def _instance_id(backend: wire.Backend) -> str:
    parts = (backend.agent_id, backend.incarnation, backend.losses)
    return SEPARATOR.join(map(str, parts))


def _agent_part(instance_id: str) -> str:
    """Return the part of a name that stands for the agent and its incarnation."""
    return instance_id.rpartition(SEPARATOR)[0]
