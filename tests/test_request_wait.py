"""Until when a connection waits for its caller while limits change."""

from __future__ import annotations

import unittest

from endivegw.relay.request_wait import RequestPhase, RequestWait
from endivegw.routing import CallerLimits


def _limits(idle_s: float, body_bytes: int = 100) -> CallerLimits:
    return CallerLimits(body_bytes=body_bytes, idle_timeout_s=idle_s)


class RequestWaitTests(unittest.TestCase):
    """A wait for a caller begins at second 10."""

    def due_s(self, *changes: tuple[float, float]) -> float:
        """Return the end of an idle wait after limits at the given times."""
        wait = RequestWait(_limits(changes[0][1]))
        for now_s, idle_s in changes:
            wait.update(RequestPhase.IDLE, 10.0, _limits(idle_s), now_s)
        return wait.due_s

    # Guards against connections closed by the limit that held when they fell idle.
    def test_a_longer_limit_counts_from_the_start_of_the_wait(self) -> None:
        self.assertEqual(self.due_s((10.0, 2.0), (11.0, 6.0)), 16.0)

    # Guards against connections closed while their callers rely on the limit before.
    def test_a_shorter_limit_counts_from_its_change(self) -> None:
        self.assertEqual(self.due_s((10.0, 6.0), (11.0, 2.0)), 13.0)
        self.assertEqual(self.due_s((10.0, 6.0), (11.0, 2.0), (12.0, 2.0)), 13.0)

    # Guards against idle connections that live longer than any limit allowed.
    def test_a_shorter_limit_prolongs_no_wait(self) -> None:
        self.assertEqual(self.due_s((10.0, 6.0), (15.0, 2.0)), 16.0)
        self.assertEqual(self.due_s((10.0, 2.0), (11.0, 6.0), (11.5, 2.0)), 13.5)

    # Guards against a request refused by a limit that fell while it was received.
    def test_a_request_that_has_begun_keeps_the_larger_limits(self) -> None:
        wait = RequestWait(_limits(6.0))
        wait.update(RequestPhase.HEAD, 10.0, _limits(6.0), 10.0)
        wait.update(RequestPhase.BODY, 10.5, _limits(6.0, 10), 10.5)
        self.assertEqual(wait.limits.body_bytes, 100)
        wait.update(RequestPhase.BODY, 11.0, _limits(6.0, 1000), 11.0)
        self.assertEqual(wait.limits.body_bytes, 1000)

    # Guards against old limits for the next request on a connection.
    def test_an_idle_connection_takes_the_limits_in_force(self) -> None:
        wait = RequestWait(_limits(6.0))
        wait.update(RequestPhase.IDLE, 10.0, _limits(6.0, 10), 10.5)
        self.assertEqual(wait.limits.body_bytes, 10)


if __name__ == "__main__":
    unittest.main()
