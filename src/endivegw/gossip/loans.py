"""Lend tokens to other routers and borrow tokens from them by datagrams."""

from __future__ import annotations

from typing import Awaitable, Callable

import anyio
from attrs import define, field

from endivegw.gossip.messages import LoanRequest, LoanResponse, Message
from endivegw.gossip.peers import PeerEntry, PeerTable
from endivegw.telemetry import EventLog
from endivegw.telemetry.catalogue import allowances as events
from endivegw.types import ClientAccountName, InstanceId, TransferId

__all__ = ["Loans"]

#: A loan request is resent after this long: two round trips to another availability
#: zone, with a busy peer in between.
RESEND_S = 0.02

#: How long responses and requests are retained. A request is resent for a far shorter
#: time.
_RETAIN_S = 30.0


@define
class _PendingRequest:
    """A loan request, retained after a timeout for a late response."""

    client_account: ClientAccountName
    requested_s: float
    answered: anyio.Event = field(factory=anyio.Event)
    response: LoanResponse | None = None


class Loans:
    """Request loans from peers and answer their requests.

    :param send: sends one message to a peer.
    :param lend: debits tokens for a peer; returns how many.
    :param on_lent: called with the tokens lent to a router that does not hold the
        account.
    :param surplus: returns the unused tokens by account.
    :param on_loan: credits tokens that a peer debited, once for each request, even if
        the request has timed out: the tokens exist nowhere else.
    """

    def __init__(
        self,
        own_id: InstanceId,
        peers: PeerTable,
        send: Callable[[PeerEntry, Message], Awaitable[None]],
        lend: Callable[[ClientAccountName, int, int], Awaitable[int]],
        on_lent: Callable[[ClientAccountName, int], None],
        surplus: Callable[[], dict[ClientAccountName, int]],
        on_loan: Callable[[ClientAccountName, int], None],
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._own_id = own_id
        self._peers = peers
        self._send = send
        self._lend = lend
        self._on_lent = on_lent
        self._surplus = surplus
        self._on_loan = on_loan
        self._clock = clock
        self._log = log
        self._requests = 0
        self._pending: dict[TransferId, _PendingRequest] = {}
        self._responses: dict[TransferId, tuple[LoanResponse, float]] = {}
        #: Requests that are being decided.
        self._in_progress: set[TransferId] = set()

    async def request(
        self,
        account: ClientAccountName,
        min_tokens: int,
        wanted_tokens: int,
        *,
        timeout_s: float,
    ) -> int:
        """Request loans until the minimum is reached; return the tokens received."""
        received_tokens = 0
        deadline_s = self._clock() + timeout_s
        portions = self._peers.portions(account, min_tokens, self._clock())
        if len(portions) > 1:
            received_tokens = await self._request_from_all(portions, account, timeout_s)
        for peer in self._peers.lenders(account, self._clock()):
            left_s = deadline_s - self._clock()
            if received_tokens >= max(min_tokens, 1) or left_s <= 0:
                break
            received_tokens += await self._request_from(
                peer,
                account,
                max(0, min_tokens - received_tokens),
                wanted_tokens - received_tokens,
                min(left_s, RESEND_S * 3),
            )
        return received_tokens

    async def collect(self, account: ClientAccountName, *, timeout_s: float) -> None:
        """Retrieve leftover tokens from routers that do not hold an account.

        Each has few tokens left from its requests, but their total grows with the
        number of routers.
        """
        now_s = self._clock()
        if self._peers.is_collector(account, now_s):
            leftovers = self._peers.leftovers(account, now_s)
            await self._request_from_all(leftovers, account, timeout_s)

    async def _request_from_all(
        self,
        portions: list[tuple[PeerEntry, int]],
        account: ClientAccountName,
        timeout_s: float,
    ) -> int:
        """Request from each of several peers its portion, concurrently."""
        amounts: list[int] = []

        async def request(peer: PeerEntry, tokens: int) -> None:
            received_tokens = await self._request_from(
                peer, account, tokens, tokens, timeout_s
            )
            amounts.append(received_tokens)

        async with anyio.create_task_group() as tasks:
            for peer, tokens in portions:
                tasks.start_soon(request, peer, tokens)
        return sum(amounts)

    async def _request_from(
        self,
        peer: PeerEntry,
        account: ClientAccountName,
        min_tokens: int,
        wanted_tokens: int,
        timeout_s: float,
    ) -> int:
        self._requests += 1
        transfer_id = TransferId(f"{self._own_id}.{self._requests}")
        request = LoanRequest(
            self._own_id, transfer_id, account, min_tokens, wanted_tokens
        )
        pending = self._pending[transfer_id] = _PendingRequest(account, self._clock())
        with anyio.move_on_after(timeout_s):
            while pending.response is None:
                await self._send(peer, request)
                with anyio.move_on_after(RESEND_S):
                    await pending.answered.wait()
        return pending.response.tokens if pending.response is not None else 0

    async def answer(self, request: LoanRequest) -> LoanResponse | None:
        """Answer a loan request, debiting tokens once per id.

        A resent request gets the same response.

        :returns: None while an earlier copy of the request is being decided.
        """
        now_s = self._clock()
        self._expire(now_s)
        if request.transfer_id in self._in_progress:
            return None
        sent = self._responses.get(request.transfer_id)
        return (
            sent[0] if sent is not None else await self._create_response(request, now_s)
        )

    async def _create_response(
        self, request: LoanRequest, now_s: float
    ) -> LoanResponse:
        self._in_progress.add(request.transfer_id)
        try:
            tokens = await self._lend(
                request.client_account, request.min_tokens, request.wanted_tokens
            )
        finally:
            self._in_progress.discard(request.transfer_id)
        remaining_tokens = self._surplus().get(request.client_account, 0)
        response = LoanResponse(
            self._own_id, request.transfer_id, tokens, remaining_tokens
        )
        self._responses[request.transfer_id] = (response, now_s)
        if tokens:
            if not self._peers.is_holder(request.sender, request.client_account):
                self._on_lent(request.client_account, min(tokens, request.min_tokens))
            self._log.emit(
                events.TOKENS_LENT,
                client_account=request.client_account,
                tokens=tokens,
                least=request.min_tokens,
                peer=request.sender,
            )
        return response

    def receive(self, response: LoanResponse) -> None:
        """Credit the tokens that a peer has debited, once per request."""
        pending = self._pending.get(response.transfer_id)
        if pending is None or pending.response is not None:
            return
        pending.response = response
        pending.answered.set()
        self._peers.update_surplus(
            response.sender, pending.client_account, response.left_tokens
        )
        if response.tokens:
            self._on_loan(pending.client_account, response.tokens)

    def _expire(self, now_s: float) -> None:
        for transfer_id, (_, answered_s) in list(self._responses.items()):
            if now_s - answered_s < _RETAIN_S:
                break
            del self._responses[transfer_id]
        for transfer_id, pending in list(self._pending.items()):
            if now_s - pending.requested_s < _RETAIN_S:
                break
            del self._pending[transfer_id]
