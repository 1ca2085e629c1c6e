"""Callers of the exercise, which send, retry at other routers and record results."""

from __future__ import annotations

import enum
import json
import random
from typing import Callable

import anyio
import httpcore
from attrs import define, field, frozen

from endivegw.daemons.http_messages import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_HEADER,
    REPEATABLE_HEADER,
)
from endivegw.dev.layout import MODEL, SERVICE
from endivegw.dev.patience import StallAwareTimeouts
from endivegw.dev.sample import SampleAccount
from endivegw.types import Outcome

__all__ = ["Call", "CallResult", "CallKind", "Caller", "SendResult", "new_call"]

_CALL_DEADLINE_S = 20.0
_MAX_SENDS = 6

#: Time after its deadline for which a caller still waits for the answer.
_READ_GRACE_S = 3.0

_OK = 200
_TOO_MANY_REQUESTS = 429


class CallKind(enum.Enum):
    """Kind of request that a caller sends."""

    STREAM = "stream"
    OBJECT = "object"
    KEYED = "keyed"
    ONCE = "generation that may not be repeated"
    NOTICE = "service call that may not be repeated"
    STATUS = "service call that may be repeated"


#: Share of each kind in percent.
_KIND_PERCENTAGES = (
    (CallKind.STREAM, 35),
    (CallKind.OBJECT, 20),
    (CallKind.KEYED, 15),
    (CallKind.ONCE, 10),
    (CallKind.NOTICE, 10),
    (CallKind.STATUS, 10),
)

_KEYED_KINDS = frozenset({CallKind.KEYED, CallKind.ONCE, CallKind.NOTICE})
_SERVICE_KINDS = frozenset({CallKind.NOTICE, CallKind.STATUS})

#: Kinds that must run at most once, however often the caller sends them.
RUN_ONCE = frozenset({CallKind.ONCE, CallKind.NOTICE})


@frozen
class CallResult:
    """Result of one request for its caller, retries included.

    :param outcome: None if the caller received neither an answer nor a stated outcome.
    :param text: the complete answer.
    """

    outcome: Outcome | None
    code: str
    text: str
    elapsed_s: float
    first_data_s: float | None


@frozen
class SendResult:
    """Result of sending a call once.

    :param url: the router that the call was sent to.
    :param sent_s: time of sending, relative to the start of the call.
    :param duration_s: time from sending until the result was known.
    :param description: the status and stated outcome, or the error that broke the
        connection.
    :param outcome: the outcome that the router stated, or None.
    """

    url: str
    sent_s: float
    duration_s: float
    description: str
    outcome: Outcome | None = None

    @property
    def ended_s(self) -> float:
        """Return the time of the result, relative to the start of the call."""
        return self.sent_s + self.duration_s

    def __str__(self) -> str:
        """Return one clause for a report."""
        return (
            f"{self.url} at {self.sent_s:.2f} s for {self.duration_s:.2f} s: "
            f"{self.description}"
        )


@define
class Call:
    """One request of a caller.

    :ivar name: part of the prompt or body, which identifies the runs of this call in
        the records of engines and services.
    :ivar send_results: result of each send, in order; a send in progress is missing.
    """

    name: str
    kind: CallKind
    account: SampleAccount
    max_tokens: int
    result: CallResult | None = None
    send_count: int = 0
    send_results: list[SendResult] = field(factory=list)
    started_at_s: float = 0.0
    ended_at_s: float = 0.0

    @property
    def is_service(self) -> bool:
        """Return whether the call goes to a plain service."""
        return self.kind in _SERVICE_KINDS

    @property
    def is_keyed(self) -> bool:
        """Return whether the call carries an idempotency key."""
        return self.kind in _KEYED_KINDS

    @property
    def estimated_tokens(self) -> int:
        """Return an estimate of the tokens that the router reserves for the call."""
        return 0 if self.is_service else self.max_tokens + 120


def new_call(number: int, account: SampleAccount, rng: random.Random) -> Call:
    """Return a call of a random kind and length."""
    kinds = [kind for kind, _ in _KIND_PERCENTAGES]
    weights = [weight for _, weight in _KIND_PERCENTAGES]
    kind = rng.choices(kinds, weights)[0]
    name = f"call-{number}-{account.client_account}"
    return Call(name, kind, account, rng.choice((8, 16, 32, 96)))


@define
class _Reply:
    status: int = 0
    outcome: Outcome | None = None
    code: str = ""
    text: str = ""
    complete: bool = False
    first_data_s: float | None = None
    connection_error: str = ""

    @property
    def description(self) -> str:
        """Return a short description of the result."""
        if self.connection_error:
            return (
                self.connection_error
                if not self.status
                else f"{self.status}, {self.connection_error}"
            )
        if self.outcome is not None:
            return f"{self.status} {self.outcome.value} {self.code}".rstrip()
        suffix = "" if self.complete else " truncated"
        return f"{self.status}{suffix}, no outcome stated"


class Caller:
    """Send calls to the routers, like a client behind a load balancer.

    :param urls: returns the routers that the load balancer would choose from.
    :param timeouts: limits the time of each send; its task runs beside the callers.
    """

    def __init__(
        self,
        urls: Callable[[], list[str]],
        clock: Callable[[], float],
        rng: random.Random,
        timeouts: StallAwareTimeouts,
    ) -> None:
        self._urls = urls
        self._clock = clock
        self._rng = rng
        self._timeouts = timeouts
        self._pool = httpcore.AsyncConnectionPool(max_connections=256)

    async def close(self) -> None:
        """Close the connection pool."""
        await self._pool.aclose()

    async def send(self, call: Call) -> None:
        """Send a call, retry it where that is safe, and record the result."""
        started_s = self._clock()
        call.started_at_s = started_s
        reply = _Reply()
        had_unknown_outcome = False
        while call.send_count < _MAX_SENDS:
            call.send_count += 1
            reply = await self._send_once(call, started_s)
            had_unknown_outcome = (
                had_unknown_outcome or reply.outcome is Outcome.UNKNOWN
            )
            if not _should_resend(call, reply):
                break
            remaining_s = started_s + _CALL_DEADLINE_S - self._clock()
            if remaining_s <= 0:
                break
            await anyio.sleep(
                min(0.1 * 2**call.send_count * self._rng.random(), remaining_s)
            )
        outcome = reply.outcome
        if outcome is Outcome.NOT_RUN and had_unknown_outcome and not call.is_keyed:
            # Without a key, the stated outcome covers the last send only, and an
            # earlier one may have run.
            outcome = Outcome.UNKNOWN
        elapsed_s = self._clock() - started_s
        call.ended_at_s = self._clock()
        call.result = CallResult(
            outcome, reply.code, reply.text, elapsed_s, reply.first_data_s
        )

    async def _send_once(self, call: Call, started_s: float) -> _Reply:
        reply = _Reply()
        method, path, body = _build_request(call)
        remaining_s = max(0.5, started_s + _CALL_DEADLINE_S - self._clock())
        fields = {
            "authorization": f"Bearer {call.account.key}",
            "content-type": "application/json",
            DEADLINE_HEADER: f"{remaining_s:.3f}",
        }
        if call.is_keyed:
            fields[IDEMPOTENCY_HEADER] = call.name
        if call.kind is CallKind.ONCE:
            fields[REPEATABLE_HEADER] = "no"
        router_url = self._rng.choice(self._urls())
        url = router_url + path
        sent_s = self._clock()
        try:
            with self._timeouts.fail_after(remaining_s + _READ_GRACE_S):
                async with self._pool.stream(
                    method, url, headers=list(fields.items()), content=body
                ) as response:
                    await self._read_response(call, response, reply, started_s)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as error:
            # The connection broke, so the caller does not know the outcome.
            reply.outcome = None
            reply.connection_error = repr(error)
        duration_s = self._clock() - sent_s
        call.send_results.append(
            SendResult(
                router_url,
                sent_s - started_s,
                duration_s,
                reply.description,
                reply.outcome,
            )
        )
        return reply

    async def _read_response(
        self, call: Call, response: httpcore.Response, reply: _Reply, started_s: float
    ) -> None:
        headers = {k.lower().decode(): v.decode() for k, v in response.headers}
        reply.status = response.status
        data = b""
        async for chunk in response.aiter_stream():
            if reply.first_data_s is None and reply.status == _OK:
                reply.first_data_s = self._clock() - started_s
            data += chunk
        stated = headers.get(OUTCOME_HEADER)
        reply.outcome = Outcome(stated) if stated else None
        if reply.status != _OK:
            reply.code = _error_code(data)
            return
        _parse_answer(call, data, reply)


def _build_request(call: Call) -> tuple[str, str, bytes]:
    if call.kind is CallKind.NOTICE:
        return "POST", f"/services/{SERVICE}/notices", call.name.encode()
    if call.kind is CallKind.STATUS:
        return "POST", f"/services/{SERVICE}/status", call.name.encode()
    document = {
        "model": MODEL,
        "messages": [{"role": "user", "content": f"{call.name} len={call.max_tokens}"}],
        "max_tokens": call.max_tokens,
        "stream": call.kind in (CallKind.STREAM, CallKind.KEYED),
    }
    return "POST", "/v1/chat/completions", json.dumps(document).encode()


def _error_code(data: bytes) -> str:
    """Return an error's code, or "" for the error page of a killed server."""
    try:
        return str(json.loads(data)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


def _parse_answer(call: Call, data: bytes, reply: _Reply) -> None:
    """Parse an answer as a client would."""
    if call.is_service:
        reply.text = data.decode()
        reply.complete = True
        return
    if call.kind not in (CallKind.STREAM, CallKind.KEYED):
        reply.text = json.loads(data)["choices"][0]["message"]["content"]
        reply.complete = True
        return
    texts: list[str] = []
    for event in data.decode().split("\n\n"):
        if event.startswith("event: error"):
            error = json.loads(event.partition("data: ")[2])["error"]
            reply.code = error["code"]
            reply.outcome = Outcome(error["outcome"])
            return
        if event == "data: [DONE]":
            reply.complete = True
        elif event.startswith("data: "):
            chunk = json.loads(event.removeprefix("data: "))
            texts += [c["delta"].get("content") or "" for c in chunk["choices"]]
    reply.text = "".join(texts)
    if not reply.complete:
        reply.outcome = None


def _should_resend(call: Call, reply: _Reply) -> bool:
    """Return whether a well-behaved client would send the call again."""
    if reply.outcome is Outcome.ANSWERED or reply.status == _TOO_MANY_REQUESTS:
        return False
    if reply.outcome is Outcome.NOT_RUN:
        return reply.status >= 500
    # The outcome is unknown or the answer truncated. With a key it is safe to send
    # again; without one only if a second run does no harm.
    return call.is_keyed or call.kind not in RUN_ONCE
