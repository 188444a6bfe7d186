"""Random workload: request arrivals per step, and prompt and answer sizes."""

__all__ = ["draw_poisson", "draw_request_sizes"]

import math
import random
from dataclasses import dataclass

from wigeonscale.ports.exchange import GenerationSize
from wigeonscale.routes import EngineProfile

# Prompt and answer sizes are log-normal, truncated at MAX_SIZE_FACTOR times the mean.
SIZE_LOG_STDDEV = 0.75
MAX_SIZE_FACTOR = 3.0
# Log-normal error of the answer size that callers expect, around the actual size.
HINT_LOG_STDDEV = 0.5
MIN_TOKENS = 4


@dataclass(frozen=True, slots=True)
class RequestSizes:
    """Sizes of one request.

    Attributes:
        declared_size: Sizes that the caller declares to the router.
        answer_tokens: Actual length of the answer in tokens; unknown to the router.
    """

    declared_size: GenerationSize
    answer_tokens: int


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson-distributed count.

    Args:
        rng: Source of randomness.
        mean: Mean of the distribution. Keep it small: the number of draws from ``rng``
            grows in proportion to it.
    """
    count, threshold = 0, math.exp(-mean)
    product = rng.random()
    while product > threshold:
        count += 1
        product *= rng.random()
    return count


def draw_request_sizes(rng: random.Random, model: EngineProfile) -> RequestSizes:
    """Return random sizes for one request.

    Args:
        rng: Source of randomness.
        model: Provides the mean prompt and answer sizes, in tokens.
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
