"""Bound the connections of callers that a process keeps open."""

from __future__ import annotations

import enum
import math
from typing import Generic, Hashable, TypeVar

from attrs import define, field

__all__ = ["ConnectionLimit", "ConnectionState"]

Connection = TypeVar("Connection", bound=Hashable)


class ConnectionState(enum.Enum):
    """What a connection waits for, in the order in which connections give way."""

    #: It has not brought any request.
    UNUSED = 0
    #: Its last request was answered.
    IDLE = 1
    #: A request has begun and is not complete.
    RECEIVING = 2
    #: A request is in progress.
    BUSY = 3


@define
class ConnectionLimit(Generic[Connection]):
    """Choose which connection is closed for a new one.

    Closing one that waits for nothing costs its caller a new connection; refusing the
    new one may cost a request.

    :ivar max_connections: connections that may be open at once.
    :ivar closed: number of connections that gave way.
    """

    max_connections: float = math.inf
    closed: int = 0
    _states: dict[Connection, ConnectionState] = field(factory=dict)
    #: By state, in the order in which they came into it.
    _waiting: dict[ConnectionState, dict[Connection, None]] = field(
        factory=lambda: {state: {} for state in ConnectionState}
    )

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._states)

    @property
    def is_full(self) -> bool:
        """Return whether as many connections are open as may be."""
        return len(self._states) >= self.max_connections

    def set_state(self, connection: Connection, state: ConnectionState) -> None:
        """Record what a connection waits for; a new one is added."""
        previous = self._states.get(connection)
        if previous is state:
            return
        if previous is not None:
            del self._waiting[previous][connection]
        self._states[connection] = state
        self._waiting[state][connection] = None

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._waiting[state][connection]

    def pop_waiting(self) -> Connection | None:
        """Remove and return the connection to close; None if all are busy."""
        for state in ConnectionState:
            if state is ConnectionState.BUSY:
                return None
            for connection in self._waiting[state]:
                self.remove(connection)
                self.closed += 1
                return connection
        return None
