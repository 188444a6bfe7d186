"""Ports: the interfaces through which the core uses clocks, engines and services.

Each port is a protocol or a callable type; :mod:`wigeonscale.adapters` and
:mod:`wigeonscale.platform` implement them.
"""

__all__ = [
    "CacheEvent",
    "Clock",
    "Engine",
    "EngineInfo",
    "EngineLoad",
    "EngineProbeResult",
    "EngineResult",
    "EngineStep",
    "HttpResponse",
    "Probe",
    "ProbeResult",
    "ReachabilityCheck",
    "Service",
    "SystemClock",
]

from wigeonscale.ports.backends import (
    CacheEvent,
    Engine,
    EngineInfo,
    EngineLoad,
    EngineResult,
    EngineStep,
    HttpResponse,
    Service,
)
from wigeonscale.ports.clock import Clock, SystemClock
from wigeonscale.ports.probe import (
    EngineProbeResult,
    Probe,
    ProbeResult,
    ReachabilityCheck,
)
