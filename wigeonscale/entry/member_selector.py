"""Selection of an agent for a piece of work among the current members."""

__all__ = ["MemberSelector"]

from collections.abc import Callable
from dataclasses import dataclass

from wigeonscale.dispatch import Selection, Target, Work
from wigeonscale.membership import MembersView
from wigeonscale.ports import Clock
from wigeonscale.routing import Candidate, Chooser
from wigeonscale.wire import wire_pb2 as wire

# Control decides within seconds whether an unresponsive agent is removed.
AVOID_UNREACHABLE_S = 5.0


@dataclass(frozen=True, slots=True)
class _CandidateSet:
    """The candidates for work of one pipeline or service.

    Attributes:
        index: Index of the members from which the set was built.
        candidates: Input of the chooser.
        selections: Agent id of each candidate to its target and chain.
    """

    index: int
    candidates: tuple[Candidate, ...]
    selections: dict[str, Selection]


class MemberSelector:
    """Selects a ready agent for a piece of work.

    Args:
        members: Returns the current members.
        chooser: Chooses among candidates.
        clock: Clock port.

    Notes:
        Candidates are rebuilt and data about removed agents is discarded once per
        change of the members, not once per request.
    """

    def __init__(
        self,
        *,
        members: Callable[[], MembersView],
        chooser: Chooser,
        clock: Clock,
    ):
        self._members = members
        self._chooser = chooser
        self._clock = clock
        self._candidate_sets: dict[tuple[str, str], _CandidateSet] = {}
        self._avoid_until: dict[tuple[str, int], float] = {}
        self._backend_states: dict[str, tuple[int, bool]] = {}
        self._synced_index = -1

    def choose(self, work: Work, avoid: frozenset[str]) -> Selection | None:
        """Return a target agent and the chain of which it is the head.

        Args:
            work: The work.
            avoid: Ids of agents not to use.

        Returns:
            Target and chain, with None as the chain of a plain service; None if no
            agent is available.
        """
        self._sync_members()
        candidate_set = self._candidate_set(work.pipeline, work.service)
        prompt = work.generate.prompt if work.generate is not None else b""
        choice = self._chooser.choose(
            candidate_set.candidates,
            prefix=prompt,
            organisation=work.organisation,
            avoid=avoid | self._avoided(),
        )
        return candidate_set.selections[choice.agent_id] if choice is not None else None

    def is_current(self, agent_id: str, incarnation: int) -> bool:
        """Return whether the agent is a member with this incarnation."""
        backend = self._members().backends.get(agent_id)
        return backend is not None and backend.incarnation == incarnation

    def target(self, agent_id: str) -> Target | None:
        """Return the target of an agent, or None if it is not a member."""
        backend = self._members().backends.get(agent_id)
        return None if backend is None else _target(backend)

    def avoid_temporarily(self, target: Target) -> None:
        """Do not select this incarnation of an agent for ``AVOID_UNREACHABLE_S``."""
        until = self._clock.now() + AVOID_UNREACHABLE_S
        self._avoid_until[target.agent_id, target.incarnation] = until

    def _sync_members(self) -> None:
        members = self._members()
        if members.index == self._synced_index:
            return
        self._synced_index = members.index
        self._chooser.forget_absent(members.backends)
        states = {
            agent_id: (backend.incarnation, backend.draining)
            for agent_id, backend in members.backends.items()
        }
        for agent_id, state in states.items():
            # Once the agent is announced again without draining, an earlier load
            # report with leaving set no longer applies.
            if not state[1] and state != self._backend_states.get(agent_id, state):
                self._chooser.clear_leaving(agent_id)
        self._backend_states = states

    def _avoided(self) -> frozenset[str]:
        if not self._avoid_until:
            return frozenset()
        now = self._clock.now()
        self._avoid_until = {
            (agent_id, incarnation): until
            for (agent_id, incarnation), until in self._avoid_until.items()
            if until > now and self.is_current(agent_id, incarnation)
        }
        return frozenset(agent_id for agent_id, _ in self._avoid_until)

    def _candidate_set(self, pipeline: str, service: str) -> _CandidateSet:
        members = self._members()
        known = self._candidate_sets.get((pipeline, service))
        if known is not None and known.index == members.index:
            return known
        if pipeline:
            pairs = list(_chain_candidates(members, pipeline))
        else:
            pairs = list(_service_candidates(members, service))
        candidates = tuple(candidate for candidate, _ in pairs)
        if known is not None and known.candidates == candidates:
            # The chooser caches its subset by the identity of the tuple.
            candidates = known.candidates
        selections = {candidate.agent_id: selection for candidate, selection in pairs}
        candidate_set = _CandidateSet(members.index, candidates, selections)
        self._candidate_sets[pipeline, service] = candidate_set
        return candidate_set


def _chain_candidates(members: MembersView, pipeline: str):
    backends = members.backends
    for chain in members.chains_of(pipeline):
        if not chain.ready or chain.retiring:
            continue
        if any(_is_draining(backends, stage) for stage in chain.stages):
            continue
        head = chain.stages[0]
        candidate = Candidate(
            agent_id=head.agent_id,
            key=chain.chain_id,
            rate=chain.rate or 1.0,
            domain=head.domain,
        )
        yield candidate, (_target(head), chain)


def _service_candidates(members: MembersView, service: str):
    for backend in members.backends_of(service):
        if backend.draining:
            continue
        candidate = Candidate(
            agent_id=backend.agent_id, key=backend.agent_id, domain=backend.domain
        )
        yield candidate, (_target(backend), None)


def _is_draining(backends, stage: wire.Stage) -> bool:
    backend = backends.get(stage.agent_id)
    return backend is not None and backend.draining


def _target(member: wire.Backend | wire.Stage) -> Target:
    return Target(member.agent_id, member.incarnation, member.address)
