"""Sizes of models and accelerators for layer planning, from a service's profile."""

__all__ = ["MAX_AMOUNT", "model_size", "planning_obstacle", "usable_accelerator"]

from wigeonscale.layers import ModelSize
from wigeonscale.layers.model import MAX_MODEL_LAYERS
from wigeonscale.routes import Accelerator, EngineProfile

# Larger amounts are not plausible in any unit used here, and could overflow.
MAX_AMOUNT = 1e15
BYTES_PER_MB = 1e6


def planning_obstacle(engine: EngineProfile) -> str:
    """Return why no layers can be planned for engines; empty if they can be.

    Args:
        engine: Profile of the model's engines, as configured.
    """
    if not 1 <= engine.layers <= MAX_MODEL_LAYERS:
        return f"{engine.layers} layers; possible are 1 to {MAX_MODEL_LAYERS}"
    if not _known(engine.layer_mb):
        return f"a layer of {engine.layer_mb:g} MB"
    return ""


def model_size(engine: EngineProfile) -> ModelSize:
    """Return the model's sizes that layer planning uses.

    Amounts that are missing, negative or not plausible count as unknown.

    Args:
        engine: Profile of the model's engines, without :func:`planning_obstacle`.
    """
    tokens = _known(engine.usual_prompt) + _known(engine.usual_answer)
    longer_ms = _known(engine.sequence_ms) + _known(engine.context_ms) * tokens / 1000.0
    step_ms = _known(engine.step_ms)
    return ModelSize(
        layers=engine.layers,
        layer_mb=engine.layer_mb,
        token_mb=_known(engine.token_bytes) / engine.layers / BYTES_PER_MB,
        room_tokens=_known(engine.room_tokens),
        request_tokens=tokens,
        slots=int(_known(engine.slots)),
        slowdown=longer_ms / step_ms if step_ms else 0.0,
    )


def usable_accelerator(engine: EngineProfile, kind: str) -> Accelerator | None:
    """Return a kind of accelerator if engines of it can hold layers, else None.

    Args:
        engine: Profile of the model's engines.
        kind: Name of the kind that an engine reports.
    """
    accelerator = engine.accelerators.get(kind)
    if accelerator is None:
        return None
    is_known = _known(accelerator.size_mb) and _known(accelerator.pace)
    return accelerator if is_known else None


def _known(amount: float) -> float:
    """Return an amount, or 0 if it is not positive, not finite or not plausible."""
    return amount if 0 < amount <= MAX_AMOUNT else 0.0
