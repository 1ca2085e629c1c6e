"""Timeouts that count only the time during which the process runs."""

from __future__ import annotations

from contextlib import contextmanager
from typing import Iterator

import anyio
from attrs import define, field

__all__ = ["StallAwareTimeouts"]

_TICK_S = 0.05


@define
class StallAwareTimeouts:
    """Limit how long callers wait for routers in the same process.

    If the process gets no CPU time for seconds, the timeouts of a caller and of the
    router expire together. The caller would disconnect before the router could
    respond, and the request would count as lost. A late tick therefore counts as one
    interval like any other, so that caller and router continue together.

    :ivar running_s: time for which the process has run, without stalls.
    """

    running_s: float = 0.0
    _deadlines_s: dict[anyio.CancelScope, float] = field(factory=dict)

    async def run(self) -> None:
        """Count ticks and cancel scopes whose timeout has expired, until cancelled."""
        while True:
            await anyio.sleep(_TICK_S)
            self.running_s += _TICK_S
            for scope, deadline_s in tuple(self._deadlines_s.items()):
                if deadline_s <= self.running_s:
                    scope.cancel()

    @contextmanager
    def move_on_after(self, timeout_s: float) -> Iterator[anyio.CancelScope]:
        """Cancel the block after a time, without raising an error."""
        with anyio.CancelScope() as scope:
            self._deadlines_s[scope] = self.running_s + timeout_s
            try:
                yield scope
            finally:
                del self._deadlines_s[scope]

    @contextmanager
    def fail_after(self, timeout_s: float) -> Iterator[None]:
        """Cancel the block after a time and raise :exc:`TimeoutError`."""
        with self.move_on_after(timeout_s) as scope:
            yield
        if scope.cancelled_caught:
            raise TimeoutError
