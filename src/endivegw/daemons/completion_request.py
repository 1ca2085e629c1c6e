"""Parse and validate a caller's completion request, without I/O."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from endivegw.results import Reason, Refused

__all__ = ["CompletionRequest", "parse_completion"]

#: Fields for which only the value 1 is accepted: a higher value would multiply or
#: hide the tokens that a request consumes.
_SINGLE_CHOICE_FIELDS = ("n", "best_of")

#: Accepted roles. The per-message allowance of the prompt bound covers the tokens of
#: these role names.
_ROLES = ("system", "developer", "user", "assistant", "tool")


@frozen
class CompletionRequest:
    """Hold the fields of a completion request that routing needs.

    :param body: the caller's JSON, unchanged.
    :param texts: all text that the engine reads, from which the prompt bound is
        computed: the prompt, or each message of a chat with its further fields, and
        the tool definitions.
    :param prefix_text: the prompt as engines identify it in their cache events.
    :param max_tokens: the caller's limit on output tokens, None if absent.
    """

    body: bytes
    chat: bool
    model: str
    texts: tuple[str, ...]
    prefix_text: str
    max_tokens: int | None
    stream: bool
    include_usage: bool


def parse_completion(body: bytes, *, chat: bool) -> CompletionRequest | Refused:
    """Return the parsed request, or the reason why it is invalid."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return _bad_request("the body is not valid JSON")
    if not isinstance(document, dict):
        return _bad_request("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return _bad_request("'model' must be a string")
    for name in _SINGLE_CHOICE_FIELDS:
        if document.get(name) not in (None, 1):
            return _bad_request(f"'{name}' above 1 is not supported")
    prompt = _chat_prompt(document) if chat else _plain_prompt(document)
    if isinstance(prompt, Refused):
        return prompt
    max_tokens = document.get("max_completion_tokens", document.get("max_tokens"))
    if max_tokens is not None and not _is_positive(max_tokens):
        return _bad_request("'max_tokens' must be a positive integer")
    options = document.get("stream_options")
    if options is not None and not isinstance(options, dict):
        return _bad_request("'stream_options' must be an object")
    stream = document.get("stream", False)
    if stream not in (True, False, None):
        return _bad_request("'stream' must be true or false")
    return CompletionRequest(
        body=body,
        chat=chat,
        model=model,
        texts=prompt.texts,
        prefix_text=prompt.prefix_text,
        max_tokens=max_tokens,
        stream=bool(stream),
        include_usage=bool((options or {}).get("include_usage")),
    )


def _bad_request(detail: str) -> Refused:
    return Refused(Reason.BAD_REQUEST, detail)


def _is_positive(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


@frozen
class _Prompt:
    texts: tuple[str, ...]
    prefix_text: str


def _plain_prompt(document: dict[str, Any]) -> _Prompt | Refused:
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return _Prompt((prompt,), prompt)
    return _bad_request("'prompt' must be a string")


def _chat_prompt(document: dict[str, Any]) -> _Prompt | Refused:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return _bad_request("'messages' must be a list with at least one message")
    texts: list[str] = []
    contents: list[str] = []
    for message in messages:
        if not isinstance(message, dict) or message.get("role") not in _ROLES:
            return _bad_request(f"each message needs a 'role' of {', '.join(_ROLES)}")
        content = _content_text(message.get("content"))
        if content is None:
            return _bad_request("each message's 'content' must be text")
        contents.append(content)
        texts.append(content + _other_fields(message))
    # The engine reads tool definitions as part of the prompt.
    if document.get("tools"):
        texts.append(json.dumps(document["tools"]))
    return _Prompt(tuple(texts), " ".join(contents))


def _other_fields(message: dict[str, Any]) -> str:
    """Return the fields of a message other than role and content as JSON.

    Names and tool calls are prompt tokens; a bound without them would be below the
    engine's actual consumption.
    """
    fields = {k: v for k, v in message.items() if k not in ("role", "content")}
    return json.dumps(fields) if fields else ""


def _content_text(content: Any) -> str | None:
    if content is None:
        return ""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return None
    parts: list[str] = []
    for part in content:
        if not isinstance(part, dict) or part.get("type") != "text":
            return None
        text = part.get("text")
        if not isinstance(text, str):
            return None
        parts.append(text)
    return "\n".join(parts)
