"""Callers: how many come in an instant, and what each asks for."""

__all__ = ["draw_poisson", "draw_request_sizes"]

import math
import random
from dataclasses import dataclass

from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import EngineProfile

# Standard deviation of the logarithm of prompts and answers, whose tails end at three
# times the mean, and of what callers expect an answer to be.
SIZE_LOG_STDDEV = 0.75
MAX_SIZE_FACTOR = 3.0
HINT_LOG_STDDEV = 0.5
MIN_TOKENS = 4


@dataclass(frozen=True, slots=True)
class RequestSizes:
    """What a caller asks for.

    Attributes:
        told: What the router is told.
        answer: Tokens that the answer will have.
    """

    declared_size: GenerationSize
    answer_tokens: int


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Return a count by Poisson's law.

    Args:
        rng: Source of randomness.
        mean: Its mean; small, since it costs as many draws.
    """
    count, threshold = 0, math.exp(-mean)
    product = rng.random()
    while product > threshold:
        count += 1
        product *= rng.random()
    return count


def draw_request_sizes(rng: random.Random, model: EngineProfile) -> RequestSizes:
    """Return the sizes of one request.

    Args:
        rng: Source of randomness.
        model: Its usual sizes.
    """
    prompt_tokens = _draw_size(rng, model.usual_prompt)
    answer_tokens = _draw_size(rng, model.usual_answer)
    expected_tokens = max(
        1, int(answer_tokens * math.exp(rng.gauss(0.0, HINT_LOG_STDDEV)))
    )
    return RequestSizes(
        GenerationSize(
            prompt_tokens=prompt_tokens,
            max_tokens=4 * answer_tokens,
            expected_tokens=expected_tokens,
        ),
        answer_tokens,
    )


def _draw_size(rng: random.Random, mean: float) -> int:
    size = mean * math.exp(
        rng.gauss(-SIZE_LOG_STDDEV * SIZE_LOG_STDDEV / 2, SIZE_LOG_STDDEV)
    )
    return max(MIN_TOKENS, int(min(size, MAX_SIZE_FACTOR * mean)))
