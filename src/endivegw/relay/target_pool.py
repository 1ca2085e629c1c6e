"""Kept connections to targets."""

from __future__ import annotations

import errno
import math
from typing import Callable

import anyio
from anyio.abc import SocketStream
from attrs import define, field, frozen

from endivegw.relay.target_connection import TargetConnection

__all__ = ["ConnectFailed", "PoolLimits", "TargetPool"]


class ConnectFailed(Exception):
    """Say that no connection came about: nothing was sent."""


@frozen
class PoolLimits:
    """Hold the limits of kept connections.

    :param connect_s: how long a connection may take to come about. Twenty
        times what one between availability zones takes; a target without power
        answers nothing at all.
    :param refuse_s: how long the answer of a host may take at whose address nobody
        listens; it comes from the kernel.
    :param drop_s: how long a new connection is watched for its end.
    :param most_idle_s: an idle connection older than this is not used, where
        the target says nothing itself.
    :param idle_share: share of the target's own idle time-out after which its
        connections are not used: what is sent in the moment of its closing is
        lost without a word on whether it ran.
    :param fresh_s: the same for requests that must not run twice.
    :param most_idle: idle connections kept for one target.
    """

    connect_s: float = 0.25
    refuse_s: float = 0.1
    drop_s: float = 0.02
    most_idle_s: float = 4.0
    idle_share: float = 0.7
    fresh_s: float = 1.0
    most_idle: int = 24


@define
class TargetPool:
    """Open, lend and keep connections, by address of the target."""

    clock: Callable[[], float]
    limits: PoolLimits = field(factory=PoolLimits)
    opened: int = 0
    _idle: dict[str, list[TargetConnection]] = field(factory=dict)

    async def acquire(self, address: str, fresh: bool) -> TargetConnection:
        """Return a connection that is ready for a request.

        :param fresh: whether the request must not run twice; a connection that
            was idle for long is then not used.
        :raises ConnectFailed: where none came about in time.
        """
        kept = self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if self._usable(connection, fresh) and connection.quiet():
                return connection
            await connection.close()
        return await self._open(address)

    async def release(self, connection: TargetConnection) -> None:
        """Take a connection back, or close one that is not clean."""
        kept = self._idle.setdefault(connection.address, [])
        if not connection.reusable or len(kept) >= self.limits.most_idle:
            await connection.close()
            return
        connection.idle_since_s = self.clock()
        kept.append(connection)

    async def refuses(self, address: str) -> bool:
        """Return whether nobody listens at an address; False where it is not known.

        A process that ends closes its sockets in any order: a connection that it
        still took and drops at once is tried once more.
        """
        host, _, port = address.rpartition(":")
        for _ in range(2):
            try:
                with anyio.fail_after(self.limits.refuse_s):
                    stream = await anyio.connect_tcp(host, int(port))
            except TimeoutError:
                return False
            except OSError as error:
                return _is_refusal(error)
            if not await _is_dropped(stream, self.limits.drop_s):
                return False
        return False

    async def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            await connection.close()

    def expire(self, address: str) -> None:
        """Let no idle connection to an address be used again."""
        for connection in self._idle.get(address, []):
            connection.idle_since_s = -math.inf

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            await self.forget(address)

    def _usable(self, connection: TargetConnection, fresh: bool) -> bool:
        limits = self.limits
        allowed_s = limits.most_idle_s
        if connection.keep_alive_s is not None:
            allowed_s = connection.keep_alive_s * limits.idle_share
        if fresh:
            allowed_s = min(allowed_s, limits.fresh_s)
        return self.clock() - connection.idle_since_s <= allowed_s

    async def _open(self, address: str) -> TargetConnection:
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(self.limits.connect_s):
                stream = await anyio.connect_tcp(host, int(port))
        except TimeoutError as error:
            detail = f"no connection in {self.limits.connect_s:g} s"
            raise ConnectFailed(detail) from error
        except OSError as error:
            raise ConnectFailed(str(error)) from error
        self.opened += 1
        return TargetConnection(stream, address, self.clock())


async def _is_dropped(stream: SocketStream, within_s: float) -> bool:
    """Return whether the other end drops a new connection; close it."""
    try:
        with anyio.move_on_after(within_s):
            await stream.receive(1)
        return False
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        return True
    finally:
        await anyio.aclose_forcefully(stream)


def _is_refusal(error: OSError) -> bool:
    """Return whether an error says that no process listens.

    The library raises an error of its own from the kernel's.
    """
    cause = error.__cause__ if error.__cause__ is not None else error
    return isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED
