"""Callers of the exercise: send, retry elsewhere under the same key, remember."""

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
from endivegw.dev.patience import Patience
from endivegw.dev.sample import SampleAccount
from endivegw.types import Outcome

__all__ = ["Call", "CallEnd", "CallKind", "Caller", "Try", "new_call"]

_DEADLINE_S = 20.0
_TRIES = 6

#: How long a caller listens on after its deadline.
_PATIENCE_S = 3.0

_OK = 200
_TOO_MANY = 429


class CallKind(enum.Enum):
    """What a caller asks for."""

    STREAM = "stream"
    OBJECT = "object"
    KEYED = "keyed"
    ONCE = "generation that may not be repeated"
    NOTICE = "service call that may not be repeated"
    STATUS = "service call that may be repeated"


#: How many of a hundred calls are of each kind.
_MIX = (
    (CallKind.STREAM, 35),
    (CallKind.OBJECT, 20),
    (CallKind.KEYED, 15),
    (CallKind.ONCE, 10),
    (CallKind.NOTICE, 10),
    (CallKind.STATUS, 10),
)

_KEYED = frozenset({CallKind.KEYED, CallKind.ONCE, CallKind.NOTICE})
_SERVICE_KINDS = frozenset({CallKind.NOTICE, CallKind.STATUS})

#: Kinds that must run at most once, however often the caller sends them.
RUN_ONCE = frozenset({CallKind.ONCE, CallKind.NOTICE})


@frozen
class CallEnd:
    """Hold how one request ended for its caller, retries included.

    :param outcome: None where neither an answer nor an honest word came.
    :param text: the whole answer.
    """

    outcome: Outcome | None
    code: str
    text: str
    elapsed_s: float
    first_data_s: float | None


@frozen
class Try:
    """Hold what one send of a call met.

    :param url: the router that was asked.
    :param sent_s: how long after the call began.
    :param took_s: until its end was known.
    :param met: the status and what was said of the outcome, or the error that broke
        the connection.
    :param outcome: what was said of the outcome, None where nothing was.
    """

    url: str
    sent_s: float
    took_s: float
    met: str
    outcome: Outcome | None = None

    @property
    def ended_s(self) -> float:
        """Return how long after the call began its end was known."""
        return self.sent_s + self.took_s

    def __str__(self) -> str:
        """Return one clause for a report."""
        return f"{self.url} at {self.sent_s:.2f} s for {self.took_s:.2f} s: {self.met}"


@define
class Call:
    """Hold one request of a caller.

    :ivar name: stands in the prompt or body, so that engines can be asked what
        they ran for it.
    :ivar tried: what each send met, in order; one that has not ended is missing.
    """

    name: str
    kind: CallKind
    account: SampleAccount
    max_tokens: int
    end: CallEnd | None = None
    tries: int = 0
    tried: list[Try] = field(factory=list)
    began_at_s: float = 0.0
    ended_at_s: float = 0.0

    @property
    def is_service(self) -> bool:
        """Return whether a plain service is called."""
        return self.kind in _SERVICE_KINDS

    @property
    def is_keyed(self) -> bool:
        """Return whether it carries an idempotency key."""
        return self.kind in _KEYED

    @property
    def bound_tokens(self) -> int:
        """Return about what the router reserves for it."""
        return 0 if self.is_service else self.max_tokens + 120


def new_call(number: int, account: SampleAccount, rng: random.Random) -> Call:
    """Return a call of a random kind and length."""
    kinds = [kind for kind, _ in _MIX]
    weights = [weight for _, weight in _MIX]
    kind = rng.choices(kinds, weights)[0]
    name = f"call-{number}-{account.client_account}"
    return Call(name, kind, account, rng.choice((8, 16, 32, 96)))


@define
class _Reply:
    status: int = 0
    outcome: Outcome | None = None
    code: str = ""
    text: str = ""
    whole: bool = False
    first_data_s: float | None = None
    broken: str = ""

    @property
    def met(self) -> str:
        """Return what the caller met, in a few words."""
        if self.broken:
            return self.broken if not self.status else f"{self.status}, {self.broken}"
        if self.outcome is not None:
            return f"{self.status} {self.outcome.value} {self.code}".rstrip()
        end = "" if self.whole else " without its end"
        return f"{self.status}{end}, nothing said of the outcome"


class Caller:
    """Send calls to the routers, as a client behind a balancer would.

    :param urls: returns the routers that the balancer would choose from.
    :param patience: bounds each try; its task runs beside the callers.
    """

    def __init__(
        self,
        urls: Callable[[], list[str]],
        clock: Callable[[], float],
        rng: random.Random,
        patience: Patience,
    ) -> None:
        self._urls = urls
        self._clock = clock
        self._rng = rng
        self._patience = patience
        self._pool = httpcore.AsyncConnectionPool(max_connections=256)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def send(self, call: Call) -> None:
        """Send a call, again where it may be, and remember how it ended."""
        began_s = self._clock()
        call.began_at_s = began_s
        reply = _Reply()
        told_unknown = False
        while call.tries < _TRIES:
            call.tries += 1
            reply = await self._try(call, began_s)
            told_unknown = told_unknown or reply.outcome is Outcome.UNKNOWN
            if not _sends_again(call, reply):
                break
            left_s = began_s + _DEADLINE_S - self._clock()
            if left_s <= 0:
                break
            await anyio.sleep(min(0.1 * 2**call.tries * self._rng.random(), left_s))
        outcome = reply.outcome
        if outcome is Outcome.NOT_RUN and told_unknown and not call.is_keyed:
            # An earlier try may have run: the last word is about the last try.
            outcome = Outcome.UNKNOWN
        elapsed_s = self._clock() - began_s
        call.ended_at_s = self._clock()
        call.end = CallEnd(
            outcome, reply.code, reply.text, elapsed_s, reply.first_data_s
        )

    async def _try(self, call: Call, began_s: float) -> _Reply:
        reply = _Reply()
        method, path, body = _request(call)
        left_s = max(0.5, began_s + _DEADLINE_S - self._clock())
        fields = {
            "authorization": f"Bearer {call.account.key}",
            "content-type": "application/json",
            DEADLINE_HEADER: f"{left_s:.3f}",
        }
        if call.is_keyed:
            fields[IDEMPOTENCY_HEADER] = call.name
        if call.kind is CallKind.ONCE:
            fields[REPEATABLE_HEADER] = "no"
        router_url = self._rng.choice(self._urls())
        url = router_url + path
        sent_s = self._clock()
        try:
            with self._patience.fail_after(left_s + _PATIENCE_S):
                async with self._pool.stream(
                    method, url, headers=list(fields.items()), content=body
                ) as response:
                    await self._read(call, response, reply, began_s)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            OSError,
        ) as error:
            # A broken connection: the caller knows nothing.
            reply.outcome = None
            reply.broken = repr(error)
        took_s = self._clock() - sent_s
        call.tried.append(
            Try(router_url, sent_s - began_s, took_s, reply.met, reply.outcome)
        )
        return reply

    async def _read(
        self, call: Call, response: httpcore.Response, reply: _Reply, began_s: float
    ) -> None:
        headers = {k.lower().decode(): v.decode() for k, v in response.headers}
        reply.status = response.status
        data = b""
        async for chunk in response.aiter_stream():
            if reply.first_data_s is None and reply.status == _OK:
                reply.first_data_s = self._clock() - began_s
            data += chunk
        said = headers.get(OUTCOME_HEADER)
        reply.outcome = Outcome(said) if said else None
        if reply.status != _OK:
            reply.code = _code_of(data)
            return
        _understand(call, data, reply)


def _request(call: Call) -> tuple[str, str, bytes]:
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


def _code_of(data: bytes) -> str:
    """Return an error's code; "" for a page of the server that was killed."""
    try:
        return str(json.loads(data)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


def _understand(call: Call, data: bytes, reply: _Reply) -> None:
    """Take an answer apart as a client would."""
    if call.is_service:
        reply.text = data.decode()
        reply.whole = True
        return
    if call.kind not in (CallKind.STREAM, CallKind.KEYED):
        reply.text = json.loads(data)["choices"][0]["message"]["content"]
        reply.whole = True
        return
    texts: list[str] = []
    for event in data.decode().split("\n\n"):
        if event.startswith("event: error"):
            error = json.loads(event.partition("data: ")[2])["error"]
            reply.code = error["code"]
            reply.outcome = Outcome(error["outcome"])
            return
        if event == "data: [DONE]":
            reply.whole = True
        elif event.startswith("data: "):
            chunk = json.loads(event.removeprefix("data: "))
            texts += [c["delta"].get("content") or "" for c in chunk["choices"]]
    reply.text = "".join(texts)
    if not reply.whole:
        reply.outcome = None


def _sends_again(call: Call, reply: _Reply) -> bool:
    """Return whether a sensible client would send the call again."""
    if reply.outcome is Outcome.ANSWERED or reply.status == _TOO_MANY:
        return False
    if reply.outcome is Outcome.NOT_RUN:
        return reply.status >= 500
    # Unknown or cut: under a key it is safe to ask again; without one it is
    # only where a second run does no harm.
    return call.is_keyed or call.kind not in RUN_ONCE
