"""Wait for requests that only targets of one software version may run."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions import admission
from endivegw.decisions.availability import available_in_s
from endivegw.decisions.policy import Policy
from endivegw.decisions.pool import Pool
from endivegw.decisions.target_state import TargetState
from endivegw.decisions.work import Expired, WorkItem
from endivegw.results import Reason, Refused

__all__ = ["BoundRequests"]


@define
class _Entry:
    pool: Pool
    item: WorkItem
    latest_start_s: float


@define
class BoundRequests:
    """Hold requests until a target of their software version has a free slot.

    They continue streams that were admitted before, whose callers leave after a pause.
    They are therefore served before the queue, and not for long.
    """

    policy: Policy
    _entries: dict[str, _Entry] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._entries)

    def is_bound(self, pool: Pool, item: WorkItem) -> bool:
        """Return whether some target of a pool must not run a request."""
        if item.software_version is None:
            return False
        return any(not item.allows(state.view) for state in pool.members)

    def refusal(self, pool: Pool, item: WorkItem, now_s: float) -> Refused | None:
        """Return the refusal of a request that no target accepts in time, or None."""
        members = self._members(pool, item)
        if not members:
            return admission.refuse_without_version(item)
        available_s = available_in_s(members, now_s)
        if available_s > self.policy.max_backoff_wait_s:
            return _refuse_busy(item, available_s)
        if len(self._entries) >= self.policy.queue_items:
            return _refuse_busy(item, self.policy.bound_wait_s)
        return None

    def add(self, pool: Pool, item: WorkItem, now_s: float) -> float:
        """Let a request wait; return the longest time for which it does."""
        latest_start_s = min(item.deadline_s, now_s + self.policy.bound_wait_s)
        self._entries[item.request_id] = _Entry(pool, item, latest_start_s)
        return latest_start_s - now_s

    def remove(self, request_id: str) -> None:
        """Remove a request that was placed, or whose caller disconnected."""
        self._entries.pop(request_id, None)

    def waiting(self) -> list[tuple[Pool, WorkItem]]:
        """Return the requests that wait, the oldest first."""
        return [(entry.pool, entry.item) for entry in self._entries.values()]

    def expire(self, now_s: float) -> list[Expired]:
        """Remove the requests that can no longer be served."""
        expired = []
        for entry in list(self._entries.values()):
            refused = self.refusal(entry.pool, entry.item, now_s)
            if refused is None and entry.latest_start_s <= now_s:
                refused = _refuse_busy(entry.item, self.policy.bound_wait_s)
            if refused is not None:
                self.remove(entry.item.request_id)
                expired.append(Expired.from_refusal(entry.item, refused))
        return expired

    def _members(self, pool: Pool, item: WorkItem) -> list[TargetState]:
        return [
            state
            for state in pool.members
            if item.allows(state.view) and state.view.target not in item.excluded
        ]


def _refuse_busy(item: WorkItem, retry_s: float) -> Refused:
    detail = (
        f"all targets of software version {item.software_version}, which began the"
        " stream, are busy"
    )
    return Refused(Reason.VERSION_UNAVAILABLE, detail, retry_s)
