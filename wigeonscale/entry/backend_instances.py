"""Ids of the instances of backend servers, for crash tracking."""

__all__ = ["BackendInstances"]

from collections.abc import Callable, Iterable

from wigeonscale.membership import MembersView
from wigeonscale.wire import wire_pb2 as wire

SEPARATOR = "/"


class BackendInstances:
    """Identifies the instances (process lifetimes) of backend servers.

    An agent can outlive its backend server and announces how often it has lost it.
    An instance id therefore consists of the agent id, the agent's incarnation and
    that count.

    Args:
        members: Returns the current members.
    """

    def __init__(self, *, members: Callable[[], MembersView]):
        self._members = members

    def ids_of(self, agent_ids: Iterable[str]) -> tuple[str, ...]:
        """Return the ids of the current backend server instances of some agents.

        Args:
            agent_ids: The agents; those that are not members are skipped.
        """
        backends = self._members().backends
        return tuple(_instance_id(backends[i]) for i in agent_ids if i in backends)

    def is_serving(self, instance_id: str) -> bool:
        """Return whether the instance's agent is a member and not draining on purpose.

        Args:
            instance_id: Id of the instance, which may have ended.
        """
        backend = self._backend(instance_id)
        if backend is None or _agent_part(instance_id) != _agent_part(
            _instance_id(backend)
        ):
            return False
        # An agent also announces draining while its backend server is unreachable. If
        # the instance has been replaced, that may be the reason.
        return not backend.draining or instance_id != _instance_id(backend)

    def has_ended(self, instance_id: str) -> bool:
        """Return whether the instance has ended or its agent is not a member."""
        backend = self._backend(instance_id)
        return backend is None or instance_id != _instance_id(backend)

    def _backend(self, instance_id: str) -> wire.Backend | None:
        agent_id = instance_id.rsplit(SEPARATOR, 2)[0]
        return self._members().backends.get(agent_id)


def _instance_id(backend: wire.Backend) -> str:
    parts = (backend.agent_id, backend.incarnation, backend.losses)
    return SEPARATOR.join(map(str, parts))


def _agent_part(instance_id: str) -> str:
    """Return the part of an instance id that identifies agent and incarnation."""
    return instance_id.rpartition(SEPARATOR)[0]
