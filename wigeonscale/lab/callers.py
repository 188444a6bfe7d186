"""Callers: how many come in an instant, and what each asks for."""

__all__ = ["draw_count", "draw_sizes"]

import math
import random
from dataclasses import dataclass

from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import EngineProfile

# Standard deviation of the logarithm of prompts and answers, whose tails end at three
# times the mean, and of what callers expect an answer to be.
SIZE_SPREAD = 0.75
LARGEST_SHARE = 3.0
HINT_SPREAD = 0.5
FEWEST_TOKENS = 4


@dataclass(frozen=True, slots=True)
class Sizes:
    """What a caller asks for.

    Attributes:
        told: What the router is told.
        answer: Tokens that the answer will have.
    """

    told: GenerationSize
    answer: int


def draw_count(rng: random.Random, mean: float) -> int:
    """Return a count by Poisson's law.

    Args:
        rng: Source of randomness.
        mean: Its mean; small, since it costs as many draws.
    """
    count, least = 0, math.exp(-mean)
    product = rng.random()
    while product > least:
        count += 1
        product *= rng.random()
    return count


def draw_sizes(rng: random.Random, model: EngineProfile) -> Sizes:
    """Return the sizes of one request.

    Args:
        rng: Source of randomness.
        model: Its usual sizes.
    """
    prompt = _draw_size(rng, model.usual_prompt)
    answer = _draw_size(rng, model.usual_answer)
    hint = max(1, int(answer * math.exp(rng.gauss(0.0, HINT_SPREAD))))
    return Sizes(
        GenerationSize(
            prompt_tokens=prompt, max_tokens=4 * answer, expected_tokens=hint
        ),
        answer,
    )


def _draw_size(rng: random.Random, mean: float) -> int:
    size = mean * math.exp(rng.gauss(-SIZE_SPREAD * SIZE_SPREAD / 2, SIZE_SPREAD))
    return max(FEWEST_TOKENS, int(min(size, LARGEST_SHARE * mean)))
