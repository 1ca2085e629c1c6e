"""Kernel state of connections."""

from __future__ import annotations

import socket
import unittest

from endivegw.sockets import (
    has_no_pending_input,
    has_unacknowledged_output,
    last_input_age_s,
    peer_has_closed,
)


class ClosedSocketTests(unittest.TestCase):
    """
    A failed write closes a socket while another task still refers to it. A query of
    such a socket raised an error that ended the connection's task.
    """

    def test_queries_of_a_closed_socket_return(self) -> None:
        """The peer counts as gone, and nothing is left to be read or sent."""
        left, right = socket.socketpair()
        left.close()
        right.close()
        self.assertTrue(peer_has_closed(left))
        self.assertFalse(has_no_pending_input(left))
        self.assertFalse(has_unacknowledged_output(left))
        self.assertEqual(last_input_age_s(left), 0.0)


if __name__ == "__main__":
    unittest.main()
