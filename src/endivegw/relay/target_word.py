"""What targets say of themselves beside their answers."""

from __future__ import annotations

from endivegw.decisions import Placement
from endivegw.quarantine import TargetStart
from endivegw.relay.context import RelayContext
from endivegw.relay.wire import AnswerMarks
from endivegw.telemetry.catalogue import relay as events

__all__ = ["take_word"]

#: How much longer than a target asked it is left alone, as a share at the most: not
#: all routers return at the same moment.
_PAUSE_SPREAD = 0.1


def take_word(
    context: RelayContext, request_id: str, placement: Placement, marks: AnswerMarks
) -> None:
    """Send a target nothing more that leaves, and nothing for a while where it asks.

    :param placement: where the request went whose connection the answer came on.
    """
    if not marks.leaving and marks.pause_s is None:
        return
    context.log.emit(
        events.TARGET_SAID,
        request_id=request_id,
        target=placement.target,
        leaving=marks.leaving,
        pause_s=marks.pause_s,
    )
    if marks.leaving:
        start = TargetStart(placement.instance_id, placement.started_ms)
        context.on_leaving(start, "answer")
    if marks.pause_s is not None:
        pause_s = marks.pause_s * (1.0 + _PAUSE_SPREAD * context.rng.random())
        until_s = context.clock() + pause_s
        availability = context.queue.dispatcher.availability
        availability.back_off(placement.target, placement.started_ms, until_s)
