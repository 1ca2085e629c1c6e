"""Ports for daemons that are told by their settings where to listen."""

from __future__ import annotations

import socket

__all__ = ["reserve_datagram_port", "reserve_port"]

_LOOPBACK = "127.0.0.1"

_reserved: list[socket.socket] = []


def reserve_port() -> int:
    """Return a TCP port of the loopback address, kept until this process ends.

    A port that is asked of the system and closed again is anybody's until the daemon
    listens: a connection that is opened meanwhile can get it, and the daemon ends with
    "Address already in use". A bound socket that does not listen keeps it from all
    but those who listen with ``SO_REUSEADDR``, as daemons do.
    """
    keeper = socket.socket()
    keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    keeper.bind((_LOOPBACK, 0))
    _reserved.append(keeper)
    port: int = keeper.getsockname()[1]
    return port


def reserve_datagram_port() -> int:
    """Return a UDP port that no other caller of this module gets.

    Its number is that of a reserved TCP port: a second UDP socket with it would take
    the daemon's datagrams.
    """
    while True:
        port = reserve_port()
        with socket.socket(type=socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                # A stranger's; the next number will do.
                continue
        return port
