"""Tests of ports that are reserved before a daemon listens on them."""

import socket
import unittest

from endivegw_standins.ports import reserve_datagram_port, reserve_port

LOOPBACK = "127.0.0.1"


def listen(port):
    """Listen as a daemon does; return the socket."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen()
    return listener


class PortTests(unittest.TestCase):
    """
    A test obtains a free port and writes it to a router's settings. Before the router
    listens, the system assigns the port to a connection of another program, or to the
    next fleet of the test. The router then fails with "Address already in use".
    """

    def test_a_reserved_port_cannot_be_bound_by_others(self):
        """Another program tries to bind the port before the router listens, and
        after a killed router has released it."""
        port = reserve_port()
        for _ in range(2):
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((LOOPBACK, port))
            listen(port).close()

    def test_connections_reach_the_listening_router(self):
        """Connections must reach the router, not the socket that reserves the port."""
        port = reserve_port()
        with listen(port) as router:
            with socket.create_connection((LOOPBACK, port)) as caller:
                connection, address = router.accept()
                with connection:
                    self.assertEqual(address, caller.getsockname())

    def test_no_port_is_returned_twice(self):
        """A fleet of two routers needs four ports for each router."""
        ports = [reserve_port() for _ in range(100)]
        ports += [reserve_datagram_port() for _ in range(100)]
        self.assertEqual(len(set(ports)), 200)

    def test_a_datagram_port_is_not_in_use(self):
        """A second UDP socket on a port would receive the first one's datagrams."""
        port = reserve_datagram_port()
        with socket.socket(type=socket.SOCK_DGRAM) as router:
            router.bind((LOOPBACK, port))


if __name__ == "__main__":
    unittest.main()
