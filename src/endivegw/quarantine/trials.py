"""Trials of quarantined prompt parts. The module does no I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import Callable

from attrs import define, field

from endivegw.quarantine.fingerprint import Fingerprint

__all__ = ["Trials"]

#: Number of trials that are remembered.
_MAX_TRIALS = 256


@define
class Trials:
    """Let one request at a time show if a part terminates targets.

    :param interval_s: minimum seconds between two trials of a part.
    :param is_trier: returns whether this router is the one that tries a part.
    """

    interval_s: float
    is_trier: Callable[[Fingerprint], bool]
    _started_s: OrderedDict[Fingerprint, float] = field(factory=OrderedDict)

    def start(
        self, fingerprint: Fingerprint, due_s: float | None, now_s: float
    ) -> bool:
        """Return whether a request may be sent as a trial.

        :param due_s: time from which the part may be tried, None if never.
        """
        last_s = self._started_s.get(fingerprint)
        if due_s is None or due_s > now_s or not self.is_trier(fingerprint):
            return False
        if last_s is not None and now_s - last_s < self.interval_s:
            return False
        self._started_s[fingerprint] = now_s
        if len(self._started_s) > _MAX_TRIALS:
            self._started_s.popitem(last=False)
        return True
