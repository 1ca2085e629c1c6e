"""A small stand-in for the platform's workers, with the faults that callers meet."""

from __future__ import annotations

import contextlib

import anyio
import h11
from anyio.abc import SocketStream
from attrs import define, field

__all__ = ["PlatformWorker", "WorkerRun"]

#: How long a worker runs a request that ends it.
_END_AFTER_S = 0.03


@define
class WorkerRun:
    """Hold one request that ran.

    :param events: events that were sent.
    """

    request_id: str
    fields: dict[str, str]
    body: bytes
    events: int = 0


@define
class PlatformWorker:
    """Serve plain answers and streams of events.

    :ivar instance_id: requests meant for another one are refused.
    :ivar sheds: how many requests from now on are refused without running.
    :ivar breaks_after: events after which the next stream breaks off midway.
    :ivar event_pause_s: between two events.
    :ivar misdirected: requests that were meant for another instance.
    :ivar leaving: whether it says in each answer that it leaves.
    :ivar pause_s: what it asks for with each request that it turns away; None for
        nothing.
    :ivar turned_away: requests that it turned away.
    :ivar ended_by: a request with these bytes in its body ends the worker soon after
        it began to run; None where none does.
    :ivar ends: requests that ended the worker, over all its starts.
    :ivar ended: set when a request has ended this start.
    """

    instance_id: str
    events: int = 5
    sheds: int = 0
    breaks_after: int | None = None
    event_pause_s: float = 0.0
    misdirected: int = 0
    runs: list[WorkerRun] = field(factory=list)
    leaving: bool = False
    pause_s: str | None = None
    turned_away: int = 0
    ended_by: bytes | None = None
    ends: list[str] = field(factory=list)
    ended: anyio.Event = field(factory=anyio.Event)

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection; what runs ends where the caller is gone."""
        gone = (anyio.BrokenResourceError, anyio.ClosedResourceError)
        with contextlib.suppress(*gone):
            async with stream:
                while await self._exchange(stream):
                    pass

    async def _exchange(self, stream: SocketStream) -> bool:
        connection = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        while True:
            event = connection.next_event()
            match event:
                case h11.Request():
                    request = event
                case h11.Data():
                    body += event.data
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    return False
                case _:
                    try:
                        connection.receive_data(await stream.receive())
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return False
        assert request is not None
        fields = {name.decode(): value.decode() for name, value in request.headers}
        return await self._answer(stream, fields, body)

    async def _answer(
        self, stream: SocketStream, fields: dict[str, str], body: bytes
    ) -> bool:
        attempt = fields.get("endivegw-attempt-id", "")
        if fields.get("endivegw-expect-instance") != self.instance_id:
            self.misdirected += 1
            await stream.send(self._head(421, attempt, "content-length: 0\r\n"))
            return True
        if self.sheds:
            self.sheds -= 1
            self.turned_away += 1
            extra = "endivegw-not-executed: 1\r\ncontent-length: 0\r\n"
            if self.pause_s is not None:
                extra += f"retry-after: {self.pause_s}\r\n"
            await stream.send(self._head(503, attempt, extra))
            return True
        run = WorkerRun(attempt, fields, body)
        self.runs.append(run)
        if self.ended_by is not None and self.ended_by in body:
            await anyio.sleep(_END_AFTER_S)
            if not self.ended.is_set():
                self.ends.append(attempt)
            self.ended.set()
            # Whoever runs the worker cancels it now.
            await anyio.sleep_forever()
        if "endivegw-token-counts" not in fields:
            extra = f"endivegw-response-seal: s\r\ncontent-length: {len(body)}\r\n"
            await stream.send(self._head(200, attempt, extra) + body)
            return True
        return await self._stream(stream, run)

    async def _stream(self, stream: SocketStream, run: WorkerRun) -> bool:
        extra = (
            "endivegw-response-seal: s\r\ncontent-type: text/event-stream\r\n"
            "transfer-encoding: chunked\r\n"
        )
        await stream.send(self._head(200, run.request_id, extra))
        first = int(run.fields.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if self.breaks_after == number - 1:
                self.breaks_after = None
                # The rest of the event never comes.
                await stream.send(b"%x\r\n%b" % (len(event), event[:5]))
                return False
            await stream.send(b"%x\r\n%b\r\n" % (len(event), event))
            run.events += 1
            await anyio.sleep(self.event_pause_s)
        await stream.send(b"0\r\n\r\n")
        return True

    def _head(self, status: int, attempt: str, extra: str) -> bytes:
        if self.leaving:
            extra += "server-leaving: 1\r\n"
        lines = f"HTTP/1.1 {status} X\r\nendivegw-attempt-id: {attempt}\r\n"
        return f"{lines}{extra}\r\n".encode()
