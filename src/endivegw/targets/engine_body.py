"""Rewrite and read the JSON of the completions protocol."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from endivegw.results import Reason, Refused
from endivegw.targets.ports import EngineRequest
from endivegw.types import Usage

__all__ = ["Chunk", "EngineBody", "parse_chunk", "parse_usage", "prepare_body"]

#: Fields in which callers may bound the answer, by the age of their library.
_BOUND_FIELDS = ("max_completion_tokens", "max_tokens")


@frozen
class EngineBody:
    """Hold the body for the engine.

    :param caller_wants_usage: whether the caller asked for the usage chunk.
    """

    data: bytes
    caller_wants_usage: bool


@frozen
class Chunk:
    """Hold what one chunk of a streamed answer says.

    :param tokens: how many tokens of text it holds, 0 or 1: engines that put
        several tokens into one chunk correct the count in the final usage.
    """

    tokens: int
    finish_reason: str
    usage: Usage | None
    only_usage: bool
    error: str


def prepare_body(request: EngineRequest) -> EngineBody | Refused:
    """Return the caller's body as the engine is to get it.

    The bound on the answer is clamped to what the sidecar allows: the budget's
    reservation holds no more, and an engine that ran on would overspend it.
    """
    try:
        fields = json.loads(request.body)
    except ValueError as error:
        return Refused(Reason.BAD_REQUEST, f"the body is no JSON: {error}")
    if not isinstance(fields, dict):
        return Refused(Reason.BAD_REQUEST, "the body is no JSON object")
    options = fields.get("stream_options")
    wants_usage = isinstance(options, dict) and options.get("include_usage") is True
    bounds = [fields.pop(name, None) for name in _BOUND_FIELDS]
    wanted = [bound for bound in bounds if isinstance(bound, int) and bound > 0]
    fields["max_tokens"] = min([*wanted, request.max_completion_tokens])
    fields["model"] = request.adapter or request.model
    fields["stream"] = True
    fields["stream_options"] = {"include_usage": True}
    fields["priority"] = int(request.priority)
    return EngineBody(json.dumps(fields).encode(), wants_usage)


def parse_usage(value: Any) -> Usage | None:
    """Return the usage in an answer, None where there is none."""
    if not isinstance(value, dict):
        return None
    prompt = value.get("prompt_tokens")
    completion = value.get("completion_tokens")
    if not isinstance(prompt, int) or not isinstance(completion, int):
        return None
    return Usage(max(prompt, 0), max(completion, 0))


def parse_chunk(data: bytes) -> Chunk | None:
    """Return what a chunk says, None where it cannot be understood."""
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
