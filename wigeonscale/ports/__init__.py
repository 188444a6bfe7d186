"""What the inside of the project asks of the outside, as protocols."""

__all__ = [
    "CacheEvent",
    "Clock",
    "Engine",
    "EngineInfo",
    "EngineLoad",
    "EngineResult",
    "EngineSign",
    "EngineStep",
    "HttpAnswer",
    "Probe",
    "ProbeAnswer",
    "Reach",
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
    HttpAnswer,
    Service,
)
from wigeonscale.ports.clock import Clock, SystemClock
from wigeonscale.ports.probe import EngineSign, Probe, ProbeAnswer, Reach
