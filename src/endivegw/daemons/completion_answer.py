"""Turn an engine's chunks into what the caller asked for; pure.

An answer travels through the fleet as JSON chunks of the completions
protocol, one per line. A streaming caller gets each as a server-sent event,
another caller gets one object made of all of them.
"""

from __future__ import annotations

import json
from typing import Any

from attrs import define, field

from endivegw.types import Usage

__all__ = ["AnswerText", "ChunkSplitter", "DONE_EVENT", "event", "usage_object"]

#: What ends a stream that is whole; a stream without it is not.
DONE_EVENT = b"data: [DONE]\n\n"


def event(chunk: bytes) -> bytes:
    """Frame one chunk as a server-sent event."""
    return b"data: " + chunk + b"\n\n"


def usage_object(usage: Usage) -> dict[str, int]:
    """Return usage in the protocol's shape."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.total_tokens,
    }


@define
class ChunkSplitter:
    """Cut a stream of bytes into lines, over any frame borders."""

    _rest: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        return [line for line in lines if line]


@define
class AnswerText:
    """Collect chunks into the one object of a caller that does not stream."""

    chat: bool
    _first: dict[str, Any] | None = None
    _texts: list[str] = field(factory=list)
    _tool_calls: list[dict[str, Any]] = field(factory=list)
    _finish_reason: str | None = None

    def add(self, chunk: bytes) -> None:
        """Take one chunk."""
        document = json.loads(chunk)
        if self._first is None:
            self._first = document
        for choice in document.get("choices", ()):
            self._add_choice(choice)

    def _add_choice(self, choice: dict[str, Any]) -> None:
        if self.chat:
            delta = choice.get("delta") or {}
            self._texts.append(delta.get("content") or "")
            for call in delta.get("tool_calls") or ():
                self._add_tool_call(call)
        else:
            self._texts.append(choice.get("text") or "")
        if choice.get("finish_reason"):
            self._finish_reason = choice["finish_reason"]

    def _add_tool_call(self, piece: dict[str, Any]) -> None:
        index = piece.get("index", 0)
        while len(self._tool_calls) <= index:
            empty = {"type": "function", "function": {"name": "", "arguments": ""}}
            self._tool_calls.append(empty)
        call = self._tool_calls[index]
        if piece.get("id"):
            call["id"] = piece["id"]
        for name, text in (piece.get("function") or {}).items():
            call["function"][name] = call["function"].get(name, "") + (text or "")

    def whole(self, usage: Usage) -> bytes:
        """Return the object of the whole answer."""
        first = self._first or {}
        text = "".join(self._texts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        if self.chat:
            message: dict[str, Any] = {"role": "assistant", "content": text}
            if self._tool_calls:
                message["tool_calls"] = self._tool_calls
            choice["message"] = message
        else:
            choice["text"] = text
        document = {
            "id": first.get("id", ""),
            "object": "chat.completion" if self.chat else "text_completion",
            "created": first.get("created", 0),
            "model": first.get("model", ""),
            "choices": [choice],
            "usage": usage_object(usage),
        }
        return json.dumps(document).encode()
