"""Prompt prefixes that targets have read, to be told to the other routers."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from endivegw.decisions.affinity import PrefixIndex
from endivegw.decisions.work import WorkItem
from endivegw.types import TargetName

__all__ = ["PrefixReports"]

#: Maximum number of prefixes waiting to be reported to the other routers; a busy router
#: reads as many in a few seconds.
_MAX_UNREPORTED_PREFIXES = 256


@define
class PrefixReports:
    """Record prompts that targets read, and collect what other routers do not know."""

    index: PrefixIndex
    #: The oldest are dropped when it is full.
    _unreported: deque[tuple[TargetName, bytes]] = field(
        factory=lambda: deque(maxlen=_MAX_UNREPORTED_PREFIXES)
    )

    def record(self, target: TargetName, item: WorkItem, now_s: float) -> None:
        """Record that a target has read a prompt, so that it can be copied from there.

        The digest of the complete prompt is not reported to the other routers: their
        callers hardly ever send the same prompt, only prompts that share its beginning.
        """
        new_digests = self.index.record(target, item.prefix_digests, now_s, read=True)
        shared = set(item.prefix_digests[:-1])
        self._unreported.extend(
            (target, digest) for digest in new_digests if digest in shared
        )

    def pop(self) -> list[tuple[TargetName, bytes]]:
        """Return the prefixes read since the last call."""
        prefixes = list(self._unreported)
        self._unreported.clear()
        return prefixes
