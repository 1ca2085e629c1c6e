"""Availability of targets, as reported by the targets themselves."""

from __future__ import annotations

import math
from typing import Iterable, Mapping

from attrs import define

from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.types import TargetName

__all__ = ["Availability", "available_in_s", "is_backing_off"]


def is_backing_off(state: TargetState, now_s: float) -> bool:
    """Return whether a target asked this router to send nothing for now."""
    return state.backoff_until_s > now_s


def available_in_s(members: Iterable[TargetState], now_s: float) -> float:
    """Return the time until the first target accepts a request of this router.

    :returns: 0 if one does now, infinity if there are no targets.
    """
    first_s = math.inf
    for state in members:
        wait_s = max(state.backoff_until_s - now_s, state.send_wait_s(now_s))
        if wait_s <= 0.0:
            return 0.0
        first_s = min(first_s, wait_s)
    return first_s


@define
class Availability:
    """Answer queries about targets for requests that are already placed or queued.

    :param targets: the dispatcher's targets by name, shared with the dispatcher.
    :param pools: the dispatcher's pools by model, shared with the dispatcher.
    """

    targets: Mapping[TargetName, TargetState]
    pools: Mapping[str, Pool]

    def has_untried(
        self,
        model: str,
        excluded: frozenset[TargetName],
        now_s: float,
        software_version: str | None = None,
    ) -> bool:
        """Return whether a target outside ``excluded`` accepts a model's requests.

        :param software_version: the only version that may run them; None for any.
        """
        return any(
            state.view.target not in excluded
            and not is_backing_off(state, now_s)
            and software_version in (None, state.view.software_version)
            for state in self._members(model)
        )

    def back_off(
        self, target: TargetName, started_ms: int | None, until_s: float
    ) -> None:
        """Send a target no further requests until a given time.

        A target that has restarted since, with another ``started_ms``, is not affected.
        """
        state = self.targets.get(target)
        if state is not None and state.view.started_ms == started_ms:
            state.backoff_until_s = max(state.backoff_until_s, until_s)

    def available_in_s(self, model: str, now_s: float) -> float:
        """Return the time until a target of a model accepts requests.

        :returns: 0 if one does now, infinity if no target serves the model.
        """
        return available_in_s(self._members(model), now_s)

    def accepts_work(self, target: TargetName, now_s: float) -> bool:
        """Return whether a request that was placed on a target may be sent to it."""
        state = self.targets.get(target)
        if state is None or not state.view.accepts_work:
            return False
        return not is_backing_off(state, now_s)

    def start_send(
        self,
        request_id: str,
        target: TargetName,
        now_s: float,
        software_version: str | None = None,
    ) -> bool:
        """Record the send of a placed request; return False if it must not be sent.

        Called right before the send, because the target may have stopped accepting
        requests since the placement, or have restarted with other software.

        :param software_version: version that the target ran when it was chosen; None
            if the request may run at any.
        """
        if not self.accepts_work(target, now_s):
            return False
        if software_version not in (None, self.targets[target].view.software_version):
            return False
        return self.targets[target].start_send(request_id, now_s)

    def _members(self, model: str) -> list[TargetState]:
        pool = self.pools.get(model)
        return pool.members if pool is not None else []
