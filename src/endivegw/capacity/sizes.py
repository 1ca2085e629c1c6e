"""Expected size of requests and their answers."""

from __future__ import annotations

from collections import OrderedDict

from attrs import define, field, frozen

from endivegw.capacity.model import RequestNeed
from endivegw.decisions.estimates import Average

__all__ = ["AnswerSize", "RequestSizes"]

#: Headers of the packets of one message, with its acknowledgement.
_PACKET_BYTES = 120

#: Head of a request or an answer as it is sent.
_HEAD_BYTES = 600

#: Processor time of a request without its events, and of one event.
_REQUEST_S = 0.003
_EVENT_S = 0.00015

#: Assumed until a route's first answers have ended.
_PRIOR_EVENTS = 20.0
_PRIOR_EVENT_BYTES = 100.0
_PRIOR_ANSWER_BYTES = 1000.0

#: Maximum number of routes whose answers are remembered.
_MAX_ROUTES = 4096


@frozen
class AnswerSize:
    """Hold the size of one complete answer.

    :param events: number of events; 0 for an answer that is no stream.
    :param body_bytes: size of the body.
    """

    events: int
    body_bytes: int


@define
class _RouteSize:
    events: Average
    body_bytes: Average


@define
class RequestSizes:
    """Learn the size of answers by route, and tell what a request needs."""

    _routes: OrderedDict[str, _RouteSize] = field(factory=OrderedDict)

    def need(self, route: str, is_stream: bool, request_bytes: int) -> RequestNeed:
        """Return what a request is expected to need.

        :param request_bytes: size of its body.
        """
        size = self._routes.get(route)
        if size is not None:
            events, answer_bytes = size.events.mean, size.body_bytes.mean
        elif is_stream:
            events, answer_bytes = _PRIOR_EVENTS, _PRIOR_EVENTS * _PRIOR_EVENT_BYTES
        else:
            events, answer_bytes = 0.0, _PRIOR_ANSWER_BYTES
        # The request and the answer each pass the link once in each direction.
        passed_bytes = (
            request_bytes
            + answer_bytes
            + 2 * (_HEAD_BYTES + _PACKET_BYTES)
            + events * _PACKET_BYTES
        )
        return RequestNeed(
            received_bytes=passed_bytes,
            sent_bytes=passed_bytes,
            processor_s=_REQUEST_S + events * _EVENT_S,
        )

    def learn(self, route: str, size: AnswerSize) -> None:
        """Add a complete answer."""
        known = self._routes.get(route)
        if known is None:
            known = _RouteSize(Average(size.events), Average(size.body_bytes))
            self._routes[route] = known
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        known.events.add(size.events)
        known.body_bytes.add(size.body_bytes)
