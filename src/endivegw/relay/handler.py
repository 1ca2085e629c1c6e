"""Handle one caller's request: admit it and carry it to its end, or refuse it."""

from __future__ import annotations

from endivegw.quarantine import Fingerprint
from endivegw.relay.admission import admit
from endivegw.relay.answers import own_answer
from endivegw.relay.caller_connection import Answerer
from endivegw.relay.context import RelayContext
from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_run import RequestRun
from endivegw.results import Refused
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RequestHandler"]


class RequestHandler:
    """Handle the requests of one router."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context

    async def handle(self, request: CallerRequest, answerer: Answerer) -> None:
        """Answer one request."""
        context = self._context
        admitted = admit(
            request, context.table, context.wire, context.rng, context.clock()
        )
        if isinstance(admitted, Refused):
            await self._answer_self(None, admitted, answerer)
            return
        if len(context.quarantine.ledger):
            fingerprint = admitted.fingerprint
            refused = context.quarantine.refuse(fingerprint)
            if refused is not None:
                request_id = admitted.request_id
                await self._answer_self(request_id, refused, answerer, fingerprint)
                return
        await RequestRun(context, admitted, answerer).run()

    async def _answer_self(
        self,
        request_id: str | None,
        end: Refused,
        answerer: Answerer,
        fingerprint: Fingerprint | None = None,
    ) -> None:
        answer = own_answer(end)
        self._context.metrics.refused(end.reason.value)
        table = self._context.table
        self._context.log.emit(
            events.REQUEST_REFUSED,
            request_id=request_id,
            reason=end.reason.value,
            detail=end.detail,
            status=answer.status,
            version=table.version if table else None,
            fingerprint=fingerprint,
        )
        fields = self._context.wire.own_answer(request_id) + answer.fields()
        await answerer.whole(answer.status, fields, answer.body())
