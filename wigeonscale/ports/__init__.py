"""What the inside of the project asks of the outside, as protocols."""

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
