"""Encoding of answers as server-sent events or as one JSON document."""

__all__ = ["EventEncoder", "Shape", "json_document"]

import json
from enum import StrEnum
from json.encoder import encode_basestring_ascii as quote

from wigeonscale.entry.error_responses import error_document
from wigeonscale.errors import WigeonscaleError


class Shape(StrEnum):
    """JSON shape of an answer: text completion or chat completion."""

    COMPLETION = "completion"
    CHAT = "chat"


_STREAM_OBJECTS = {
    Shape.COMPLETION: "text_completion",
    Shape.CHAT: "chat.completion.chunk",
}
_JSON_OBJECTS = {Shape.COMPLETION: "text_completion", Shape.CHAT: "chat.completion"}
_TEXT_PLACEHOLDER = "@text@"


class EventEncoder:
    """Encodes the tokens of one answer as events.

    Args:
        request_id: Id of the request.
        shape: JSON shape of the chunks.
        model: Model requested by the caller.
        created: Unix time at which the answer began, in seconds.
        next_index: Index of the next token.

    Notes:
        The JSON text around a token is built once per answer, not once per token.
    """

    def __init__(
        self,
        *,
        request_id: str,
        shape: Shape,
        model: str,
        created: int,
        next_index: int = 0,
    ):
        self._shape = shape
        self._model = model
        self._created = created
        self._next_index = next_index
        self.request_id = ""
        self.set_request_id(request_id)

    def set_request_id(self, request_id: str) -> None:
        """Change the request id, after the work has moved to another dispatch."""
        if request_id == self.request_id:
            return
        self.request_id = request_id
        chunk = json.dumps(self._chunk(_choice(self._shape, _TEXT_PLACEHOLDER, None)))
        before, _, after = chunk.partition(json.dumps(_TEXT_PLACEHOLDER))
        self._before = f"\ndata: {before}"
        self._after = f"{after}\n\n"

    def tokens(self, texts: list[str]) -> bytes:
        """Return one event per token, with the token index as event id."""
        before, after = self._before, self._after
        index = self._next_index
        self._next_index = index + len(texts)
        if len(texts) == 1:
            return f"id: {index}{before}{quote(texts[0])}{after}".encode("ascii")
        events = [
            f"id: {number}{before}{quote(text)}{after}"
            for number, text in enumerate(texts, index)
        ]
        return "".join(events).encode("ascii")

    def final_event(self, finish_reason: str) -> bytes:
        """Return the final events: finish reason and token count, then ``[DONE]``."""
        chunk = self._chunk(_choice(self._shape, "", finish_reason))
        chunk["usage"] = {"completion_tokens": self._next_index}
        return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode("ascii")

    def error(self, exc: WigeonscaleError) -> bytes:
        """Return the event that ends an answer with an error."""
        return f"event: error\ndata: {error_document(exc)}\n\n".encode("ascii")

    def _chunk(self, choice: dict) -> dict:
        return {
            "id": self.request_id,
            "object": _STREAM_OBJECTS[self._shape],
            "created": self._created,
            "model": self._model,
            "choices": [choice],
        }


def json_document(
    *,
    request_id: str,
    shape: Shape,
    model: str,
    created: int,
    texts: list[str],
    finish_reason: str,
) -> dict:
    """Return a complete answer as one JSON document, for callers without streaming."""
    text = "".join(texts)
    choice: dict = {"index": 0, "finish_reason": finish_reason}
    if shape is Shape.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": _JSON_OBJECTS[shape],
        "created": created,
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": len(texts)},
    }


def _choice(shape: Shape, text: str, finish_reason: str | None) -> dict:
    choice: dict = {"index": 0}
    if shape is Shape.CHAT:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = finish_reason
    return choice
