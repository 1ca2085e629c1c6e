"""Which connections are closed for others, without I/O."""

from __future__ import annotations

import unittest

from endivegw.capacity import ConnectionLimit, ConnectionState

UNUSED, IDLE, RECEIVING, BUSY = ConnectionState


class ConnectionLimitTests(unittest.TestCase):
    """More connections than the process may keep open."""

    # Guards against callers that lose their connection to some that bring no request.
    def test_those_without_any_request_are_closed_first(self) -> None:
        limit = ConnectionLimit[str](4)
        for name, state in (
            ("busy", BUSY),
            ("receiving", RECEIVING),
            ("idle", IDLE),
            ("unused", UNUSED),
        ):
            limit.set_state(name, state)
        self.assertTrue(limit.is_full)
        closed = [limit.pop_waiting() for _ in range(4)]
        self.assertEqual(closed, ["unused", "idle", "receiving", None])
        self.assertEqual((len(limit), limit.closed), (1, 3))

    # Guards against a caller closed that has just been answered.
    def test_the_one_that_waits_longest_is_closed_first(self) -> None:
        limit = ConnectionLimit[str](3)
        for name in ("first", "second", "third"):
            limit.set_state(name, IDLE)
        limit.set_state("first", BUSY)
        limit.set_state("first", IDLE)
        closed = [limit.pop_waiting() for _ in range(3)]
        self.assertEqual(closed, ["second", "third", "first"])

    # Guards against connections that count after they have ended.
    def test_ended_connections_make_room(self) -> None:
        limit = ConnectionLimit[str](1)
        limit.set_state("first", UNUSED)
        limit.remove("first")
        limit.remove("first")
        self.assertFalse(limit.is_full)
        self.assertIsNone(limit.pop_waiting())


if __name__ == "__main__":
    unittest.main()
