"""Prompts cut into the pieces that a first stage takes as its input."""

__all__ = ["encode_pieces", "tokenise"]

import json
from collections.abc import Sequence


def tokenise(prompt: bytes) -> list[str]:
    """Cut a prompt at white space.

    Args:
        prompt: UTF-8 text; bytes that are not are replaced.

    Returns:
        At least one piece; an empty prompt gives one empty piece.

    Example:
        >>> tokenise(b"find  Jana")
        ['find', 'Jana']
    """
    return prompt.decode("utf-8", "replace").split() or [""]


def encode_pieces(pieces: Sequence[str]) -> bytes:
    """Return the first stage's input for pieces at consecutive positions."""
    return json.dumps(list(pieces), ensure_ascii=False).encode()
