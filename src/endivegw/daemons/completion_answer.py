"""Convert the chunks of an engine's answer to the caller's format, without I/O.

Within the fleet, an answer is transferred as JSON chunks of the completions
protocol, one per line. A streaming caller receives each chunk as a server-sent
event; any other caller receives one object assembled from all chunks.
"""

from __future__ import annotations

import json
from typing import Any

from attrs import define, field

from endivegw.types import Usage

__all__ = ["AnswerText", "ChunkSplitter", "DONE_EVENT", "format_event", "usage_object"]

#: The last event of a complete stream; a stream without it is incomplete.
DONE_EVENT = b"data: [DONE]\n\n"


def format_event(chunk: bytes) -> bytes:
    """Frame one chunk as a server-sent event."""
    return b"data: " + chunk + b"\n\n"


def usage_object(usage: Usage) -> dict[str, int]:
    """Return the usage object of the completions protocol."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.total_tokens,
    }


@define
class ChunkSplitter:
    """Split a stream of bytes into lines, independently of frame boundaries."""

    _remainder: bytes = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add data and return the lines that it completes."""
        *lines, self._remainder = (self._remainder + data).split(b"\n")
        return [line for line in lines if line]


@define
class AnswerText:
    """Assemble chunks into the single object for a caller that does not stream."""

    chat: bool
    _first_chunk: dict[str, Any] | None = None
    _texts: list[str] = field(factory=list)
    _tool_calls: list[dict[str, Any]] = field(factory=list)
    _finish_reason: str | None = None

    def add(self, chunk: bytes) -> None:
        """Append one chunk."""
        document = json.loads(chunk)
        if self._first_chunk is None:
            self._first_chunk = document
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

    def _add_tool_call(self, delta: dict[str, Any]) -> None:
        index = delta.get("index", 0)
        while len(self._tool_calls) <= index:
            empty = {"type": "function", "function": {"name": "", "arguments": ""}}
            self._tool_calls.append(empty)
        call = self._tool_calls[index]
        if delta.get("id"):
            call["id"] = delta["id"]
        for name, text in (delta.get("function") or {}).items():
            call["function"][name] = call["function"].get(name, "") + (text or "")

    def to_json(self, usage: Usage) -> bytes:
        """Return the complete answer as a JSON object."""
        first = self._first_chunk or {}
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
