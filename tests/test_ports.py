"""Ports that settings name before a daemon listens on them."""

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
    A test asks the system for a port and names it in a router's settings. Before the
    router listens, a connection of any other program is given the same port, or the
    next fleet of the test is. The router ends with "Address already in use", and the
    whole run has failed for a reason that is not in the code.
    """

    def test_nobody_gets_a_port_between_its_choice_and_its_use(self):
        """Another program wants the port before the router listens, and after a
        router that was killed has let go of it."""
        port = reserve_port()
        for _ in range(2):
            with socket.socket() as other, self.assertRaises(OSError):
                other.bind((LOOPBACK, port))
            listen(port).close()

    def test_a_router_that_listens_is_reached(self):
        """The port is the router's own: callers come to it, not to its keeper."""
        port = reserve_port()
        with listen(port) as router:
            with socket.create_connection((LOOPBACK, port)) as caller:
                connection, address = router.accept()
                with connection:
                    self.assertEqual(address, caller.getsockname())

    def test_no_port_is_named_twice(self):
        """Fleets of two routers name four ports each."""
        ports = [reserve_port() for _ in range(100)]
        ports += [reserve_datagram_port() for _ in range(100)]
        self.assertEqual(len(set(ports)), 200)

    def test_a_datagram_port_that_is_taken_is_not_named(self):
        """A second UDP socket on a port would take the first one's datagrams."""
        port = reserve_datagram_port()
        with socket.socket(type=socket.SOCK_DGRAM) as router:
            router.bind((LOOPBACK, port))


if __name__ == "__main__":
    unittest.main()
