"""Connections of peers that have brought no authenticated call, without a network."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import anyio

from endivegw.peers.server import _UnprovenConnections


def _event(address: Any) -> Any:
    return mock.Mock(peer=mock.Mock(addr=lambda: address))


class UnprovenConnectionTests(unittest.TestCase):
    """Two such connections may be open."""

    def setUp(self) -> None:
        self.unproven = _UnprovenConnections(2)
        self.opened = [mock.Mock() for _ in range(4)]

    def open(self, *numbers: int) -> None:
        for number in numbers:
            self.unproven.add(self.opened[number], ("127.0.0.1", number))

    def closed(self) -> list[int]:
        return [
            number
            for number, protocol in enumerate(self.opened)
            if protocol.connection.close.called
        ]

    def test_the_oldest_is_closed_for_a_new_one(self) -> None:
        self.open(0, 1, 2)
        self.assertEqual(self.closed(), [0])

    # Guards against a crowd that ends the connections of the fleet's processes.
    def test_one_that_brought_a_call_stays_open(self) -> None:
        self.open(0, 1)
        anyio.run(self.unproven.record_call, _event(("127.0.0.1", 0)))
        self.open(2, 3)
        self.assertEqual(self.closed(), [1])

    # Guards against ended connections that count for ever.
    def test_ended_ones_are_not_counted(self) -> None:
        for number in range(4):
            # The address of a connection that ended at once is not known.
            self.unproven.add(self.opened[number], None)
        self.assertEqual(self.closed(), [0, 1])
        for protocol in self.opened:
            self.unproven.remove(protocol, None)
        self.open(2, 3)
        self.assertEqual(self.closed(), [0, 1])


if __name__ == "__main__":
    unittest.main()
