"""Splits prompts into the pieces that the first stage takes as input."""

__all__ = ["encode_pieces", "tokenise"]

import json
from collections.abc import Sequence


def tokenise(prompt: bytes) -> list[str]:
    """Split a prompt at whitespace.

    Args:
        prompt: UTF-8 text; invalid bytes are replaced.

    Returns:
        The pieces; one empty piece if the prompt is empty or only whitespace.

    Example:
        >>> tokenise(b"find  Jana")
        ['find', 'Jana']
    """
    return prompt.decode("utf-8", "replace").split() or [""]


def encode_pieces(pieces: Sequence[str]) -> bytes:
    """Encode pieces at consecutive positions as input of the first stage."""
    return json.dumps(list(pieces), ensure_ascii=False).encode()
