"""Rewrite and parse the JSON of the completions protocol."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from endivegw.results import Reason, Refused
from endivegw.targets.ports import EngineRequest
from endivegw.types import Usage

__all__ = ["Chunk", "EngineBody", "parse_chunk", "parse_usage", "prepare_body"]

#: Fields that limit the length of the answer. Which one a caller sends depends on the
#: version of its client library.
_LIMIT_FIELDS = ("max_completion_tokens", "max_tokens")


@frozen
class EngineBody:
    """Hold the request body for the engine.

    :param caller_wants_usage: whether the caller requested the usage chunk.
    """

    data: bytes
    caller_wants_usage: bool


@frozen
class Chunk:
    """Hold the content of one chunk of a streamed answer.

    :param tokens: number of text tokens in the chunk, 0 or 1. Engines that put several
        tokens into one chunk correct the count in the final usage.
    :param usage_only: whether the chunk has no choices and only reports usage.
    :param error: the engine's error message, empty if there is none.
    """

    tokens: int
    finish_reason: str
    usage: Usage | None
    usage_only: bool
    error: str


def prepare_body(request: EngineRequest) -> EngineBody | Refused:
    """Return the caller's body as it is sent to the engine.

    The limit on the answer is clamped to what the sidecar allows: the budget's
    reservation covers no more, and an engine that generated more would overspend it.
    """
    try:
        fields = json.loads(request.body)
    except ValueError as error:
        return Refused(Reason.BAD_REQUEST, f"the body is not valid JSON: {error}")
    if not isinstance(fields, dict):
        return Refused(Reason.BAD_REQUEST, "the body is not a JSON object")
    options = fields.get("stream_options")
    wants_usage = isinstance(options, dict) and options.get("include_usage") is True
    limits = [fields.pop(name, None) for name in _LIMIT_FIELDS]
    requested = [limit for limit in limits if isinstance(limit, int) and limit > 0]
    fields["max_tokens"] = min([*requested, request.max_completion_tokens])
    fields["model"] = request.adapter or request.model
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    fields["priority"] = int(request.priority)
    return EngineBody(json.dumps(fields).encode(), wants_usage)


def parse_usage(value: Any) -> Usage | None:
    """Return the usage in an answer, None if there is none."""
    if not isinstance(value, dict):
        return None
    prompt = value.get("prompt_tokens")
    completion = value.get("completion_tokens")
    if not isinstance(prompt, int) or not isinstance(completion, int):
        return None
    return Usage(max(prompt, 0), max(completion, 0))


def parse_chunk(data: bytes) -> Chunk | None:
    """Parse a chunk; return None if it is malformed."""
    try:
        fields = json.loads(data)
    except ValueError:
        return None
    if not isinstance(fields, dict):
        return None
    error = fields.get("error")
    if error is not None:
        return Chunk(0, "", None, False, str(error))
    choices = fields.get("choices") or []
    usage = parse_usage(fields.get("usage"))
    if not choices:
        return Chunk(0, "", usage, True, "")
    choice = choices[0]
    delta = choice.get("delta")
    text = delta.get("content") if isinstance(delta, dict) else choice.get("text")
    tokens = 1 if text else 0
    return Chunk(tokens, choice.get("finish_reason") or "", usage, False, "")
