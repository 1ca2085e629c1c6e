"""Calls to the row store through another router while the store turns this one away."""

from __future__ import annotations

import random
from typing import Awaitable, Callable

from attrs import define, field

from endivegw.results import Done, Reason, Refused, Unknown
from endivegw.services.http_calls import (
    HttpCaller,
    HttpResponse,
    NotSent,
    ResponseLost,
)
from endivegw.services.row_messages import (
    ListCall,
    RowsResult,
    WriteCall,
    decode_call,
    decode_result,
    encode_call,
    encode_result,
)
from endivegw.services.row_store import (
    Changes,
    Conflict,
    ExpectedRow,
    HistoryGone,
    NewRow,
    RowStorePort,
    StoreTimestamp,
)
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RELAY_PATH", "ObservedRowStore", "RelayedRowStore", "RouterCaller"]

RELAY_PATH = "/store-calls"

_OK = 200


#: Sends the body of a call to a router; see :meth:`HttpCaller.call`.
CallRouter = Callable[
    [str, bytes, float], Awaitable[HttpResponse | NotSent | ResponseLost]
]


@define
class RouterCaller:
    """Call other routers over HTTP, on connections that stay open."""

    _callers: dict[str, HttpCaller] = field(factory=dict)

    async def __call__(
        self, address: str, body: bytes, timeout_s: float
    ) -> HttpResponse | NotSent | ResponseLost:
        """Send a call to a router."""
        caller = self._callers.get(address)
        if caller is None:
            caller = self._callers[address] = HttpCaller(f"http://{address}")
        return await caller.call("POST", RELAY_PATH, body=body, timeout_s=timeout_s)


@define
class RelayedRowStore:
    """Call the store, or ask a router that reaches it to make the call.

    A call whose outcome is unknown may take effect twice, once from here and once from
    there. Writes state the revisions that they expect, so that the second has no
    effect. Feeds are not relayed; the first one that is answered shows that the store
    is reachable again (:meth:`set_reachable`).

    :param relays: returns the addresses of routers that may relay a call.
    :param call_router: sends a call to one of them.
    :ivar reachable: whether the store answers calls from here.
    """

    store: RowStorePort
    relays: Callable[[], list[str]]
    call_router: CallRouter
    rng: random.Random
    log: EventLog
    reachable: bool = True
    _relay: str | None = None

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Apply all writes or none."""
        if self.reachable:
            result = await self.store.transact(
                expected, puts, deletes=deletes, timeout_s=timeout_s
            )
            self._record(result)
            return result
        call = WriteCall(expected, puts, deletes, timeout_s)
        relayed = await self._relay_call(call, timeout_s)
        if isinstance(relayed, Done) and not isinstance(relayed.value, StoreTimestamp):
            return Unknown(Reason.ANSWER_LOST, "a peer answered another call")
        return relayed  # type: ignore[return-value]

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return a consistent snapshot of a table's partition."""
        if self.reachable:
            result = await self.store.list_rows(
                table, timeout_s=timeout_s, partition=partition
            )
            self._record(result)
            return result
        call = ListCall(table, partition, timeout_s)
        relayed = await self._relay_call(call, timeout_s)
        match relayed:
            case Done(Changes()) | Refused() | Unknown():
                return relayed  # type: ignore[return-value]
        return Unknown(Reason.ANSWER_LOST, "a peer answered another call")

    async def answer(self, body: bytes) -> bytes | None:
        """Make the call of another router; return its result, None if malformed."""
        call = decode_call(body)
        result: RowsResult
        match call:
            case None:
                return None
            case _ if not self.reachable:
                result = Refused(Reason.UNREACHABLE, "no path to the store from here")
            case WriteCall():
                result = await self.store.transact(
                    call.expected,
                    call.puts,
                    deletes=call.deletes,
                    timeout_s=call.timeout_s,
                )
            case ListCall():
                result = await self.store.list_rows(
                    call.table, timeout_s=call.timeout_s, partition=call.partition
                )
        return encode_result(result)

    async def _relay_call(
        self, call: WriteCall | ListCall, timeout_s: float
    ) -> RowsResult:
        """Make a call through a router, which is kept as long as it answers."""
        relays = self.relays()
        if self._relay not in relays:
            self._relay = self.rng.choice(relays) if relays else None
        if self._relay is None:
            return Refused(Reason.UNREACHABLE, "no router that could relay the call")
        answer = await self.call_router(self._relay, encode_call(call), timeout_s)
        result: RowsResult
        match answer:
            case HttpResponse() if answer.status == _OK:
                result = decode_result(answer.body)
            case HttpResponse():
                result = Refused(Reason.UNREACHABLE, f"a peer answered {answer.status}")
            case NotSent(reason, detail):
                result = Refused(reason, detail)
            case _:
                result = Unknown(answer.reason, answer.detail)
        if isinstance(result, (Refused, Unknown)):
            self._relay = None
        return result

    def _record(self, result: RowsResult) -> None:
        match result:
            case Refused(Reason.THROTTLED):
                # A store that limits the rate of calls is reachable.
                return
            case Refused() | Unknown():
                self.set_reachable(False)

    def set_reachable(self, reachable: bool) -> None:
        """Record whether the store answers calls from here."""
        if reachable == self.reachable:
            return
        self.reachable = reachable
        self.log.emit(events.STORE_PATH_CHANGED, direct=reachable)


@define
class ObservedRowStore:
    """Forward calls to a store, and report each answered watch.

    :param on_watched: called when a watch was answered.
    """

    store: RowStorePort
    on_watched: Callable[[], None]

    async def transact(
        self,
        expected: tuple[ExpectedRow, ...],
        puts: tuple[NewRow, ...],
        *,
        deletes: tuple[ExpectedRow, ...] = (),
        timeout_s: float,
    ) -> Done[StoreTimestamp] | Conflict | Refused | Unknown:
        """Apply all writes or none."""
        return await self.store.transact(
            expected, puts, deletes=deletes, timeout_s=timeout_s
        )

    async def list_rows(
        self, table: str, *, timeout_s: float, partition: str = ""
    ) -> Done[Changes] | Refused | Unknown:
        """Return a consistent snapshot of a table's partition."""
        return await self.store.list_rows(
            table, timeout_s=timeout_s, partition=partition
        )

    async def watch(
        self, table: str, after_revision: int, *, wait_s: float, timeout_s: float
    ) -> Done[Changes] | HistoryGone | Refused | Unknown:
        """Return the changes after a revision, as soon as there are any."""
        result = await self.store.watch(
            table, after_revision, wait_s=wait_s, timeout_s=timeout_s
        )
        if isinstance(result, (Done, HistoryGone)):
            self.on_watched()
        return result
