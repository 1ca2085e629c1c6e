"""Small stand-in for the platform's workers, with fault injection."""

from __future__ import annotations

import contextlib
from collections import deque

import anyio
import h11
from anyio.abc import SocketStream
from attrs import define, field, frozen

__all__ = ["ExtraAnswer", "PlatformWorker", "WorkerRun"]

#: Factor on the rate that a cold worker bears, and requests beyond it, at which it
#: crashes.
_COLD_OVERAGE = 1.5
_COLD_SLACK = 5

_REPORT_PATH = b"/report"

#: Delay between the start of a request and the crash that it causes.
_CRASH_DELAY_S = 0.03


@frozen
class ExtraAnswer:
    """An additional answer, sent as soon as the next request has arrived.

    :param has_id: whether it carries the id of the request before.
    :param fields: further header fields, each with a line end.
    """

    status: int
    has_id: bool = False
    fields: str = ""


@define
class WorkerRun:
    """One request that ran.

    :param events: number of events that were sent.
    """

    request_id: str
    fields: dict[str, str]
    body: bytes
    events: int = 0


@define
class PlatformWorker:
    """Serve plain answers and streams of events.

    :ivar instance_id: requests for any other instance are refused.
    :ivar remaining_sheds: number of next requests that are refused without running.
    :ivar break_after_events: number of events after which the next stream breaks in the
        middle of an event.
    :ivar event_pause_s: delay after each event.
    :ivar misdirected: number of requests that were meant for another instance.
    :ivar leaving: whether each answer announces that the worker is leaving.
    :ivar retry_after: Retry-After value of refused requests; None to omit the field.
    :ivar shed_count: number of requests refused because of ``remaining_sheds``.
    :ivar crash_trigger: a request with these bytes in its body crashes the worker soon
        after its start; None to disable.
    :ivar crashing_part: id of a part of a prompt, other than its last, on which the
        worker crashes when it begins to write; None to disable.
    :ivar ends_with_connection: whether answers have neither a length nor chunks, and
        end with their connection.
    :ivar prefill_s: delay before the first event of a stream.
    :ivar crashing_request_ids: ids of the requests that crashed the worker, over all
        incarnations.
    :ivar broken_request_ids: ids of the requests whose stream broke.
    :ivar terminated: set to terminate this incarnation, for example by a request that
        crashes it.
    :ivar cold_rate_per_s: requests per second that it bears while it is cold.
    :ivar cold_until_s: time until which it is cold.
    :ivar cold_crashes: number of crashes from too many requests while it was cold.
    :ivar limit: value of the field that limits the requests per second from all
        routers, which each answer has; None to omit the field.
    :ivar silent_s: length of the silence of requests that are silent once, as a target
        may be that goes on afterwards.
    :ivar silent_after_events: number of events after which a stream is silent; before
        its answer if 0. Plain answers are silent before they begin.
    :ivar remaining_silences: number of next requests that are silent once.
    :ivar reports: whether it responds to requests for its report at once.
    :ivar extra_answer: what is sent in addition to answers; the connection stays open.
    :ivar remaining_extras: number of next answers that an additional one follows.
    :ivar software_version: added to the data of each event; None to omit it.
    :ivar arrivals_s: times at which requests arrived, including refused ones.
    """

    instance_id: str
    events: int = 5
    remaining_sheds: int = 0
    break_after_events: int | None = None
    event_pause_s: float = 0.0
    misdirected: int = 0
    runs: list[WorkerRun] = field(factory=list)
    leaving: bool = False
    retry_after: str | None = None
    shed_count: int = 0
    crash_trigger: bytes | None = None
    crashing_part: str | None = None
    ends_with_connection: bool = False
    prefill_s: float = 0.0
    crashing_request_ids: list[str] = field(factory=list)
    broken_request_ids: list[str] = field(factory=list)
    terminated: anyio.Event = field(factory=anyio.Event)
    cold_rate_per_s: float = 0.0
    cold_until_s: float = 0.0
    cold_crashes: int = 0
    limit: str | None = None
    silent_s: float = 0.0
    silent_after_events: int = 0
    remaining_silences: int = 0
    reports: bool = False
    extra_answer: ExtraAnswer = ExtraAnswer(503)
    remaining_extras: int = 0
    software_version: str | None = None
    arrivals_s: list[float] = field(factory=list)
    _cold_arrivals_s: deque[float] = field(factory=deque)

    def make_cold(self, span_s: float) -> None:
        """Be cold for a time from now on."""
        self.cold_until_s = anyio.current_time() + span_s
        self._cold_arrivals_s.clear()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection; a running request ends when the client disconnects."""
        disconnect_errors = (anyio.BrokenResourceError, anyio.ClosedResourceError)
        with contextlib.suppress(*disconnect_errors):
            async with stream:
                answered: str | None = await self._exchange(stream, None)
                while answered is not None:
                    answered = await self._exchange(stream, answered)

    async def _exchange(self, stream: SocketStream, before: str | None) -> str | None:
        """Serve one request.

        :param before: id of the request before on this connection; None if it is the
            first one.
        :returns: the id of the request; None if the connection must be closed.
        """
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
                    return None
                case _:
                    try:
                        connection.receive_data(await stream.receive())
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return None
        assert request is not None
        if request.target == _REPORT_PATH:
            return await self._report(stream)
        fields = {name.decode(): value.decode() for name, value in request.headers}
        if before is not None and self.remaining_extras:
            self.remaining_extras -= 1
            await self._send_extra(stream, before)
        if not await self._answer(stream, fields, body):
            return None
        return fields.get("endivegw-attempt-id", "")

    async def _report(self, stream: SocketStream) -> str:
        if not self.reports:
            await anyio.sleep_forever()
        await stream.send(b"HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n{}")
        return ""

    async def _send_extra(self, stream: SocketStream, before: str) -> None:
        """Send an additional answer to the request before."""
        extra = self.extra_answer
        named = f"endivegw-attempt-id: {before}\r\n" if extra.has_id else ""
        head = f"HTTP/1.1 {extra.status} X\r\n{named}{extra.fields}"
        await stream.send(f"{head}content-length: 0\r\n\r\n".encode())

    async def _answer(
        self, stream: SocketStream, fields: dict[str, str], body: bytes
    ) -> bool:
        attempt = fields.get("endivegw-attempt-id", "")
        if fields.get("endivegw-expect-instance") != self.instance_id:
            self.misdirected += 1
            await stream.send(
                self._response_head(421, attempt, "content-length: 0\r\n")
            )
            return True
        self.arrivals_s.append(anyio.current_time())
        if self._crashes_cold():
            self.cold_crashes += 1
            self.terminated.set()
            await anyio.sleep_forever()
        if self.remaining_sheds:
            self.remaining_sheds -= 1
            self.shed_count += 1
            extra = "endivegw-not-executed: 1\r\ncontent-length: 0\r\n"
            if self.retry_after is not None:
                extra += f"retry-after: {self.retry_after}\r\n"
            await stream.send(self._response_head(503, attempt, extra))
            return True
        run = WorkerRun(attempt, fields, body)
        self.runs.append(run)
        if self.crash_trigger is not None and self.crash_trigger in body:
            await self._crash(attempt, _CRASH_DELAY_S)
        if self.crashing_part in _shared_parts(fields):
            await self._crash(attempt, _CRASH_DELAY_S + self.prefill_s)
        silent_s = self._next_silence_s()
        if "endivegw-token-counts" not in fields:
            await anyio.sleep(silent_s)
            extra = f"endivegw-response-seal: s\r\n{self._framing(len(body))}"
            await stream.send(self._response_head(200, attempt, extra) + body)
            return not self.ends_with_connection
        return await self._stream(stream, run, silent_s)

    def _next_silence_s(self) -> float:
        """Return for how long the next request is silent once."""
        if not self.remaining_silences:
            return 0.0
        self.remaining_silences -= 1
        return self.silent_s

    async def _crash(self, attempt: str, delay_s: float) -> None:
        """Crash after a delay; the task that runs the worker cancels it then."""
        await anyio.sleep(delay_s)
        if not self.terminated.is_set():
            self.crashing_request_ids.append(attempt)
        self.terminated.set()
        await anyio.sleep_forever()

    def _crashes_cold(self) -> bool:
        """Count a request; return whether it is too many for a cold worker."""
        now_s = anyio.current_time()
        if not self.cold_rate_per_s or now_s >= self.cold_until_s:
            return False
        arrivals_s = self._cold_arrivals_s
        arrivals_s.append(now_s)
        while arrivals_s[0] <= now_s - 1.0:
            arrivals_s.popleft()
        return len(arrivals_s) > self.cold_rate_per_s * _COLD_OVERAGE + _COLD_SLACK

    async def _stream(
        self, stream: SocketStream, run: WorkerRun, silent_s: float
    ) -> bool:
        extra = (
            "endivegw-response-seal: s\r\ncontent-type: text/event-stream\r\n"
            f"{self._framing(None)}"
        )
        await anyio.sleep(self.prefill_s)
        if not self.silent_after_events:
            await anyio.sleep(silent_s)
        await stream.send(self._response_head(200, run.request_id, extra))
        first = int(run.fields.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            data = str(number)
            if self.software_version is not None:
                data += f" {self.software_version}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            if self.break_after_events == number - 1:
                self.break_after_events = None
                self.broken_request_ids.append(run.request_id)
                # The rest of the event is never sent.
                await stream.send(self._chunk(event)[: 5 - len(event)])
                return False
            await stream.send(self._chunk(event))
            run.events += 1
            await anyio.sleep(self.event_pause_s)
            if number == self.silent_after_events:
                await anyio.sleep(silent_s)
        if self.ends_with_connection:
            return False
        await stream.send(b"0\r\n\r\n")
        return True

    def _framing(self, length: int | None) -> str:
        """Return the fields that say how an answer ends."""
        if self.ends_with_connection:
            return "connection: close\r\n"
        if length is None:
            return "transfer-encoding: chunked\r\n"
        return f"content-length: {length}\r\n"

    def _chunk(self, event: bytes) -> bytes:
        """Return an event as it is sent."""
        if self.ends_with_connection:
            return event
        return b"%x\r\n%b\r\n" % (len(event), event)

    def _response_head(self, status: int, attempt: str, extra: str) -> bytes:
        if self.leaving:
            extra += "server-leaving: 1\r\n"
        if self.limit is not None:
            extra += f"server-limit: {self.limit}\r\n"
        lines = f"HTTP/1.1 {status} X\r\nendivegw-attempt-id: {attempt}\r\n"
        return f"{lines}{extra}\r\n".encode()


def _shared_parts(fields: dict[str, str]) -> list[str]:
    """Return the ids of a prompt's parts without the last one."""
    entries = fields.get("endivegw-prompt-prefix", "").split(",")
    return [entry.strip().partition(":")[0] for entry in entries[:-1]]
