"""Understand a caller's completion request; pure."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from endivegw.results import Reason, Refused

__all__ = ["CompletionRequest", "parse_completion"]

#: Fields whose value would multiply or hide what a request consumes.
_SINGLE_FIELDS = ("n", "best_of")

#: Roles whose names the bound's allowance for each message covers.
_ROLES = ("system", "developer", "user", "assistant", "tool")


@frozen
class CompletionRequest:
    """Hold what routing needs of a completion request.

    :param body: the caller's JSON as it came.
    :param texts: all that the engine reads, for its bound: the prompt, or each
        message of a chat with what belongs to it, and the tools.
    :param prefix_text: the prompt as engines name it in their cache events.
    :param max_tokens: the caller's bound of the answer, None where absent.
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
    """Return the request, or why it cannot be understood."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return _bad("the body is not valid JSON")
    if not isinstance(document, dict):
        return _bad("the body must be a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return _bad("'model' must be a string")
    for name in _SINGLE_FIELDS:
        if document.get(name) not in (None, 1):
            return _bad(f"'{name}' above 1 is not supported")
    prompt = _chat_prompt(document) if chat else _plain_prompt(document)
    if isinstance(prompt, Refused):
        return prompt
    max_tokens = document.get("max_completion_tokens", document.get("max_tokens"))
    if max_tokens is not None and not _is_positive(max_tokens):
        return _bad("'max_tokens' must be a positive whole number")
    options = document.get("stream_options")
    if options is not None and not isinstance(options, dict):
        return _bad("'stream_options' must be an object")
    stream = document.get("stream", False)
    if stream not in (True, False, None):
        return _bad("'stream' must be true or false")
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


def _bad(detail: str) -> Refused:
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
    return _bad("'prompt' must be a string")


def _chat_prompt(document: dict[str, Any]) -> _Prompt | Refused:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return _bad("'messages' must be a list with at least one message")
    texts: list[str] = []
    contents: list[str] = []
    for message in messages:
        if not isinstance(message, dict) or message.get("role") not in _ROLES:
            return _bad(f"each message needs a 'role' of {', '.join(_ROLES)}")
        content = _content(message.get("content"))
        if content is None:
            return _bad("each message's 'content' must be text")
        contents.append(content)
        texts.append(content + _extras(message))
    # Tool definitions are part of what the engine reads, so they count.
    if document.get("tools"):
        texts.append(json.dumps(document["tools"]))
    return _Prompt(tuple(texts), " ".join(contents))


def _extras(message: dict[str, Any]) -> str:
    """Return what an engine reads of a message beside role and content.

    Names and calls of tools count towards the prompt; a bound without them
    would be below what the engine consumes.
    """
    rest = {k: v for k, v in message.items() if k not in ("role", "content")}
    return json.dumps(rest) if rest else ""


def _content(content: Any) -> str | None:
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
