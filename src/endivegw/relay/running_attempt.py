"""An attempt of a race that is in progress."""

from __future__ import annotations

import anyio
from attrs import define, field

from endivegw.decisions import Placement

__all__ = ["RunningAttempt"]


@define(eq=False)
class RunningAttempt:
    """Hold one attempt in progress.

    :ivar silent: whether its target has said nothing for some time.
    :ivar has_data: whether any data of its answer has arrived.
    :ivar answering: whether a part of its answer was relayed.
    :ivar sent_s: time at which the request was sent.
    :ivar took_over: whether the attempts beside it were ended in its favour.
    :ivar overlap_scope: scope of the task that limits its overlap with others.
    """

    placement: Placement
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    silent: bool = False
    has_data: bool = False
    answering: bool = False
    sent_s: float = 0.0
    took_over: bool = False
    overlap_scope: anyio.CancelScope = field(factory=anyio.CancelScope)

    @property
    def work_id(self) -> str:
        """Return the id under which the dispatcher knows the attempt."""
        return self.placement.item.request_id
