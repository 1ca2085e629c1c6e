"""Reservation of ports for daemons whose settings name the port to listen on."""

from __future__ import annotations

import socket

__all__ = ["reserve_datagram_port", "reserve_port"]

_LOOPBACK = "127.0.0.1"

_reserved: list[socket.socket] = []


def reserve_port() -> int:
    """Return a TCP port of the loopback address, reserved until this process exits.

    A port that is bound and closed again is free until the daemon listens. The system
    can assign it to a connection meanwhile, and the daemon fails with "Address already
    in use". A bound socket that does not listen blocks the port for all sockets except
    those that listen with ``SO_REUSEADDR``, as daemons do.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((_LOOPBACK, 0))
    _reserved.append(reservation)
    port: int = reservation.getsockname()[1]
    return port


def reserve_datagram_port() -> int:
    """Return a UDP port that no other caller of this module gets.

    The TCP port of the same number is reserved instead, because a second UDP socket on
    the port would receive the daemon's datagrams.
    """
    while True:
        port = reserve_port()
        with socket.socket(type=socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                # Another process uses the port; try the next one.
                continue
        return port
