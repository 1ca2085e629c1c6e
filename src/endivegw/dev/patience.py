"""Time limits that count only while the process runs."""

from __future__ import annotations

from contextlib import contextmanager
from typing import Iterator

import anyio
from attrs import define, field

__all__ = ["Patience"]

_TICK_S = 0.05


@define
class Patience:
    """Bound how long callers wait for routers that share their process.

    A process that gets no processor time for seconds has a caller's time-out pass
    together with the router's own. The caller would hang up before the router could
    say a word, and the request would count as lost. A tick that comes late counts
    like any other, so that both go on side by side.

    :ivar running_s: how long the process has run, but for its stalls.
    """

    running_s: float = 0.0
    _ends_s: dict[anyio.CancelScope, float] = field(factory=dict)

    async def run(self) -> None:
        """Count, and cancel what has come to its limit, until cancelled."""
        while True:
            await anyio.sleep(_TICK_S)
            self.running_s += _TICK_S
            for scope, end_s in tuple(self._ends_s.items()):
                if end_s <= self.running_s:
                    scope.cancel()

    @contextmanager
    def move_on_after(self, seconds_s: float) -> Iterator[anyio.CancelScope]:
        """Cancel what is inside after a time, without an error."""
        with anyio.CancelScope() as scope:
            self._ends_s[scope] = self.running_s + seconds_s
            try:
                yield scope
            finally:
                del self._ends_s[scope]

    @contextmanager
    def fail_after(self, seconds_s: float) -> Iterator[None]:
        """Cancel what is inside after a time and raise :exc:`TimeoutError`."""
        with self.move_on_after(seconds_s) as scope:
            yield
        if scope.cancelled_caught:
            raise TimeoutError
