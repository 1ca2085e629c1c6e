"""Handle one caller's request: admit and run it, or refuse it."""

from __future__ import annotations

from endivegw.quarantine import Fingerprint
from endivegw.relay.admission import NO_ACCOUNT, AdmittedRequest, admit
from endivegw.relay.answer_writer import AnswerWriter
from endivegw.relay.answers import router_answer
from endivegw.relay.context import RelayContext
from endivegw.relay.messages import CallerRequest
from endivegw.relay.request_intake import DEFAULT_MAX_BODY_S, BodyPlan
from endivegw.relay.request_run import RequestRun
from endivegw.relay.suspicion import QuarantineCheck
from endivegw.results import Reason, Refused
from endivegw.telemetry.catalogue import relay as events

__all__ = ["RequestHandler"]


class RequestHandler:
    """Handle the requests of one router.

    :param max_body_s: longest time for the body of a request whose route allows less.
    """

    def __init__(
        self, context: RelayContext, max_body_s: float = DEFAULT_MAX_BODY_S
    ) -> None:
        self._context = context
        self._max_body_s = max_body_s

    async def handle(self, request: CallerRequest, writer: AnswerWriter) -> None:
        """Handle one request and write its answer."""
        context = self._context
        if context.stopped:
            stopped = Refused(Reason.NOT_READY, "the router stops")
            await self._send_refusal(None, stopped, writer)
            return
        admitted = admit(
            request, context.table, context.wire, context.rng, context.clock()
        )
        if isinstance(admitted, Refused):
            await self._send_refusal(None, admitted, writer)
            return
        check = QuarantineCheck(context, admitted)
        refused = check.refusal()
        if refused is None:
            refused = self._capacity_refusal(admitted)
        if refused is not None:
            request_id = admitted.request_id
            await self._send_refusal(request_id, refused, writer, check.blamed)
            return
        await RequestRun(context, admitted, writer, check).run()

    def plan_body(self, request: CallerRequest) -> BodyPlan | None:
        """Return how to read a body; None if the request is refused without it."""
        context = self._context
        now_s = context.clock()
        admitted = admit(request, context.table, context.wire, context.rng, now_s)
        if isinstance(admitted, Refused) or context.stopped:
            return None
        # A route may allow its requests more time than most bodies need.
        body_s = max(self._max_body_s, admitted.route.timeout_s)
        if admitted.metadata.deadline_s is not None:
            body_s = min(body_s, admitted.metadata.deadline_s)
        return BodyPlan(admitted.account_name, request.arrived_s + body_s)

    async def refuse(
        self, request: CallerRequest, refused: Refused, writer: AnswerWriter
    ) -> None:
        """Refuse a request whose body was not read."""
        metadata = self._context.wire.read_caller_fields(request.fields)
        request_id = None if isinstance(metadata, Refused) else metadata.request_id
        await self._send_refusal(request_id, refused, writer)

    def _capacity_refusal(self, admitted: AdmittedRequest) -> Refused | None:
        """Return why the router cannot take on a request, None if it does."""
        capacity = self._context.capacity
        if capacity is None:
            return None
        return capacity.admit(
            admitted.account_name or NO_ACCOUNT,
            admitted.priority,
            admitted.route.name,
            admitted.route.kind.is_stream,
            len(admitted.request.body),
        )

    async def _send_refusal(
        self,
        request_id: str | None,
        end: Refused,
        writer: AnswerWriter,
        fingerprint: Fingerprint | None = None,
    ) -> None:
        answer = router_answer(end)
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
        fields = self._context.wire.router_answer_fields(request_id) + answer.fields()
        await writer.send_complete(answer.status, fields, answer.body())
