"""Health and announced state of the agent's backend server."""

__all__ = ["BackendState"]

import asyncio
import logging
import secrets
from collections.abc import Callable

from wigeonscale.errors import ErrorKind, WigeonscaleError
from wigeonscale.pipelines.constants import LEAVING_GRACE_S
from wigeonscale.pipelines.waiting import wait_event
from wigeonscale.ports import Clock, Engine, EngineInfo, Service
from wigeonscale.wire import wire_pb2 as wire

logger = logging.getLogger(__name__)

MAX_FAILED_PROBES = 2
"""Consecutive failed probes after which the backend server counts as unreachable."""

MAX_PROBE_INTERVAL_S = 2.0
"""Maximum interval between two probes of an unreachable backend server."""


class BackendState:
    """Probes the backend server and keeps its announcement up to date.

    Args:
        base: The fields of the announcement that come from the settings.
        engine: The engine; None for a plain service.
        service: The plain service; None for an engine.
        clock: Clock port.
        probe_s: Interval between probes, in seconds.
        on_changed: Called when the announcement has changed.
    """

    def __init__(
        self,
        *,
        base: wire.Backend,
        engine: Engine | None = None,
        service: Service | None = None,
        clock: Clock,
        probe_s: float,
        on_changed: Callable[[], None] = lambda: None,
    ):
        self.on_changed = on_changed
        self.info: EngineInfo | None = None
        self.loading = False
        self.draining = False
        self.stopping = False
        self._base = base
        self._engine = engine
        self._service = service
        self._clock = clock
        self._probe_s = probe_s
        self._incarnations = [new_incarnation()]
        # The backend server counts as unreachable until the first successful probe.
        self._failures = MAX_FAILED_PROBES
        self._losses = 0
        self._probe_now = asyncio.Event()
        self._leaving_since: float | None = None

    @property
    def agent_id(self) -> str:
        """Name of the agent and of its backend server."""
        return self._base.agent_id

    @property
    def incarnation(self) -> int:
        """The currently announced incarnation."""
        return self._incarnations[-1]

    def incarnations(self) -> list[int]:
        """Return the incarnations of this process, newest last."""
        return self._incarnations

    def is_current(self, incarnation: int) -> bool:
        """Return whether new work may be addressed to this incarnation."""
        return incarnation == self.incarnation

    def renew_incarnation(self, ended: int) -> None:
        """Start a new incarnation after control has declared ``ended`` over."""
        if ended == self.incarnation:
            self._incarnations.append(new_incarnation())
            self.on_changed()

    def loaded(self) -> EngineInfo | None:
        """Return what the engine has loaded; None while an order may change it."""
        return None if self.loading else self.info

    @property
    def unreachable(self) -> bool:
        """Whether the backend server does not respond to probes."""
        if self._engine is not None:
            return self.info is None
        return self._service is not None and self._failures >= MAX_FAILED_PROBES

    @property
    def leaving(self) -> bool:
        """Whether new work is refused, for any reason."""
        engine_leaving = self.info is not None and self.info.leaving
        return self.stopping or self.draining or engine_leaving or self.unreachable

    def announcement(self) -> wire.Backend:
        """Return the current announcement."""
        backend = wire.Backend()
        backend.CopyFrom(self._base)
        backend.incarnation = self.incarnation
        backend.last_layer = -1
        if self._engine is not None:
            _fill_from_info(backend, self.info)
        backend.loading = self.loading
        backend.losses = self._losses
        # self.draining is left out: control ordered that drain, and announcing it
        # back would keep it in force after control has ended it.
        engine_leaving = self.info is not None and self.info.leaving
        backend.draining = self.stopping or self.unreachable or engine_leaving
        return backend

    def check_new(self) -> None:
        """Refuse new work if the backend server is leaving or unreachable.

        Raises:
            WigeonscaleError: ``STOPPING``, ``BACKEND_LEAVING`` or
                ``BACKEND_FAILED``; not run.
        """
        if self.stopping:
            raise WigeonscaleError(
                ErrorKind.STOPPING, f"agent {self.agent_id} is stopping", retry_after=1
            )
        if self.unreachable:
            raise WigeonscaleError(
                ErrorKind.BACKEND_FAILED,
                f"the backend server of agent {self.agent_id} does not respond",
                retry_after=1,
            )
        if self.leaving:
            raise WigeonscaleError(
                ErrorKind.BACKEND_LEAVING,
                f"backend server {self.agent_id} is leaving",
                retry_after=1,
            )

    def check_sequence(self) -> None:
        """Refuse new sequences once ``LEAVING_GRACE_S`` has passed while leaving.

        Raises:
            WigeonscaleError: As :meth:`check_new`.
        """
        if not self.leaving:
            self._leaving_since = None
            return
        if self._leaving_since is None:
            self._leaving_since = self._clock.now()
        if self._clock.now() - self._leaving_since > LEAVING_GRACE_S:
            self.check_new()

    def set_loading(self, loading: bool) -> None:
        """Record and announce whether the engine is loading weights."""
        self.loading = loading
        self.on_changed()

    def set_draining(self, draining: bool) -> None:
        """Start or end draining, as ordered by control."""
        changed = draining != self.draining
        self.draining = draining
        self.check_leaving()
        if changed:
            # Entries are notified at once by a load report.
            self.on_changed()

    def set_stopping(self) -> None:
        """Refuse new work from now on and announce it."""
        self.stopping = True
        self.check_leaving()
        self.on_changed()

    def check_leaving(self) -> None:
        """Record the time at which leaving began, or clear it."""
        if not self.leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = self._clock.now()

    def probe_soon(self) -> None:
        """Probe the backend server without waiting for the next interval."""
        self._probe_now.set()

    async def probe(self) -> None:
        """Probe the backend server once and announce a change of its state."""
        before = (self.info, self.unreachable)
        try:
            await self._refresh()
            self._failures = 0
        except WigeonscaleError as exc:
            self._failures += 1
            logger.warning("probe of the backend server failed: %s", exc.message)
            if self._failures >= MAX_FAILED_PROBES:
                self.info = None
        if (self.info, self.unreachable) != before:
            self._losses += self._was_lost(*before)
            self.check_leaving()
            self.on_changed()

    def _was_lost(self, info: EngineInfo | None, was_unreachable: bool) -> bool:
        """Return whether the backend server became unreachable or was restarted.

        Args:
            info: Engine information before the probe.
            was_unreachable: Whether it was unreachable before the probe.
        """
        if self.unreachable:
            return not was_unreachable
        is_empty = self.info is not None and self.info.last_layer < 0
        had_layers = info is not None and info.last_layer >= info.first_layer
        return had_layers and is_empty and not self.loading

    async def watch(self) -> None:
        """Probe the backend server periodically until cancelled."""
        while True:
            await self.probe()
            await wait_event(self._probe_now, self._clock, self._probe_interval_s())
            self._probe_now.clear()

    async def _refresh(self) -> None:
        if self._engine is not None:
            self.info = await self._engine.info()
        if self._service is not None:
            await self._service.probe()

    def _probe_interval_s(self) -> float:
        if not self._failures:
            return self._probe_s
        if self._failures < MAX_FAILED_PROBES:
            return self._probe_s / 4
        backoff_s = self._probe_s * 2 ** min(self._failures - MAX_FAILED_PROBES, 8)
        return max(self._probe_s, min(backoff_s, MAX_PROBE_INTERVAL_S))


def new_incarnation() -> int:
    """Return a random positive number that identifies one start of an agent."""
    return secrets.randbits(62) + 1


def _fill_from_info(backend: wire.Backend, info: EngineInfo | None) -> None:
    if info is None:
        return
    backend.model = info.model
    backend.accelerator = info.accelerator
    backend.layer_rate = info.layer_rate
    backend.layer_capacity = info.layer_capacity
    backend.first_layer = info.first_layer
    backend.last_layer = info.last_layer
    backend.checks_fencing = info.checks_fencing
    backend.version = info.version
    backend.adapters.extend(info.adapters)
    backend.link_rate = info.link_rate
