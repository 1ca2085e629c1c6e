"""Callers of the soak test: connections on which requests may be pipelined."""

from __future__ import annotations

import contextlib
from typing import Sequence

import anyio
import h11
from anyio.abc import SocketStream
from attrs import define

from tests.caller_promises import Outcome, SentRequest

__all__ = ["Call", "CallerLink"]

#: Time after which a caller stops waiting for the answers to its requests, and further
#: time for each request behind the first.
_PATIENCE_S = 5.0
_PIPELINED_PATIENCE_S = 3.0

_CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)


@define
class Call:
    """A request and what came back for it."""

    sent: SentRequest
    fields: dict[str, str]
    body: bytes
    answer: bytes = b""

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        lines = [f"POST /{self.sent.route}/x HTTP/1.1", "host: h.example"]
        lines += [f"content-length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.fields.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


class CallerLink:
    """One connection of a caller to a router.

    :param router: name of the router's process.
    :ivar usable: whether further requests may be sent.
    :ivar idle_since_s: when the last answer ended.
    """

    def __init__(self, stream: SocketStream, router: str) -> None:
        self.router = router
        self.usable = True
        self.idle_since_s = anyio.current_time()
        self._stream = stream
        self._unparsed = b""
        self._is_closing = False

    async def __aenter__(self) -> CallerLink:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stream.aclose()

    async def exchange(self, calls: Sequence[Call], pause_s: float = 0.0) -> None:
        """Send requests at once and read their answers.

        :param pause_s: pause before the last byte of all.
        """
        for number, call in enumerate(calls):
            call.sent.began_s = anyio.current_time()
            call.sent.before = calls[number - 1].sent if number else None
            call.sent.behind_close = self._is_closing
        patience_s = _PATIENCE_S + _PIPELINED_PATIENCE_S * (len(calls) - 1)
        with anyio.move_on_after(patience_s + pause_s):
            if await self._send(calls, pause_s):
                await self._read_answers(calls)
        now_s = self.idle_since_s = anyio.current_time()
        is_lost = calls[-1].sent.outcome is not Outcome.WHOLE
        self.usable = not is_lost and not self._is_closing
        for call in calls:
            call.sent.ended_s = min(call.sent.ended_s, now_s)

    async def stay_idle(self, span_s: float) -> bool:
        """Send nothing for some time; return whether the connection is still open."""
        with anyio.move_on_after(span_s):
            with contextlib.suppress(*_CLOSED):
                await self._stream.receive()
            return False
        return True

    async def _send(self, calls: Sequence[Call], pause_s: float) -> bool:
        data = b"".join(call.encode() for call in calls)
        parts = [data[:-1], data[-1:]] if pause_s else [data]
        try:
            for number, part in enumerate(parts):
                await anyio.sleep(pause_s * number)
                await self._stream.send(part)
        except _CLOSED:
            for call in calls:
                call.sent.outcome = Outcome.NOTHING
            return False
        for call in calls:
            call.sent.whole_s = anyio.current_time()
        return True

    async def _read_answers(self, calls: Sequence[Call]) -> None:
        for number, call in enumerate(calls):
            if not await self._read_answer(call):
                for unanswered in calls[number + 1 :]:
                    unanswered.sent.outcome = Outcome.NOTHING
                return

    async def _read_answer(self, call: Call) -> bool:
        """Read one answer; return whether the next one may follow."""
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
        connection.send(h11.EndOfMessage())
        has_begun = bool(self._unparsed)
        if has_begun:
            connection.receive_data(self._unparsed)
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError:
                call.sent.outcome = Outcome.CUT
                return False
            match event:
                case h11.Response(status_code=status, headers=headers):
                    call.sent.status = status
                    if (b"connection", b"close") in list(headers):
                        self._is_closing = True
                case h11.Data(data=data):
                    call.answer += bytes(data)
                case h11.EndOfMessage():
                    self._unparsed = connection.trailing_data[0]
                    call.sent.outcome = Outcome.WHOLE
                    call.sent.ended_s = anyio.current_time()
                    return True
                case h11.NEED_DATA:
                    try:
                        connection.receive_data(await self._stream.receive())
                    except _CLOSED:
                        cut = Outcome.CUT if has_begun else Outcome.NOTHING
                        call.sent.outcome = cut
                        return False
                    has_begun = True
