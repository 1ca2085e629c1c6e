"""Count what has given way to other requests and connections."""

from __future__ import annotations

from typing import Any

from attrs import define, frozen

from endivegw.capacity.connection_limit import ConnectionLimit
from endivegw.capacity.held_memory import HeldMemory
from endivegw.types import ClientAccountName

__all__ = ["GaveWay", "GaveWayCounter"]


@frozen
class GaveWay:
    """Hold what gave way since the last report, and what is held now.

    :param client_account: account that holds the most memory; None if its requests
        have none.
    """

    requests: int
    connections: int
    held_bytes: int
    limit_bytes: int
    open_connections: int
    client_account: ClientAccountName | None


@define
class GaveWayCounter:
    """Report what gave way from time to time."""

    _memory: HeldMemory
    _connections: ConnectionLimit[Any]
    _reported_requests: int = 0
    _reported_connections: int = 0

    def take(self) -> GaveWay | None:
        """Return what gave way since the last call; None if nothing did."""
        requests = self._memory.given_up - self._reported_requests
        connections = self._connections.closed - self._reported_connections
        if not requests and not connections:
            return None
        self._reported_requests += requests
        self._reported_connections += connections
        return GaveWay(
            requests,
            connections,
            self._memory.total_bytes,
            int(self._memory.limit_bytes),
            len(self._connections),
            self._memory.largest_account(),
        )
