"""Pool of connections to targets."""

from __future__ import annotations

import errno
import math
from typing import Callable

import anyio
from attrs import define, field, frozen

from endivegw.relay.target_connection import (
    AnswerBroken,
    OutgoingRequest,
    TargetConnection,
)
from endivegw.tcp_stream import TcpStream, TrafficMeter, connect_tcp

__all__ = ["ConnectFailed", "PoolLimits", "TargetPool"]


class ConnectFailed(Exception):
    """Raised when no connection could be opened; nothing was sent."""


@frozen
class PoolLimits:
    """Hold the limits of pooled connections.

    :param connect_timeout_s: limit for opening a connection, twenty times the time
        between availability zones. A target without power does not reply at all.
    :param refusal_timeout_s: limit for a connection attempt that probes whether a
        process listens. The kernel of the host replies if none does.
    :param drop_timeout_s: how long a probe's connection is watched for being closed.
    :param max_idle_s: maximum idle time of a reused connection where the target
        announces no time-out itself.
    :param keep_alive_share: share of the target's announced idle time-out after which
        a connection is not reused. A request sent just as the target closes is lost
        without any indication whether it ran.
    :param max_fresh_idle_s: maximum idle time for requests that must not run twice.
    :param max_idle_connections: maximum number of idle connections per target.
    :param sweep_every_s: interval at which idle connections that cannot be reused are
        closed.
    """

    connect_timeout_s: float = 0.25
    refusal_timeout_s: float = 0.1
    drop_timeout_s: float = 0.02
    max_idle_s: float = 4.0
    keep_alive_share: float = 0.7
    max_fresh_idle_s: float = 1.0
    max_idle_connections: int = 24
    sweep_every_s: float = 2.0


@define
class _Probe:
    """Hold a probe in progress, for which several requests may wait."""

    responds: bool = False
    ended: anyio.Event = field(factory=anyio.Event)


@define
class TargetPool:
    """Open, hand out and pool connections by target address.

    :ivar meter: counts the connections and what is held for them.
    :ivar connections_opened: number of connections opened so far.
    """

    clock: Callable[[], float]
    limits: PoolLimits = field(factory=PoolLimits)
    meter: TrafficMeter = field(factory=TrafficMeter)
    connections_opened: int = 0
    _idle: dict[str, list[TargetConnection]] = field(factory=dict)
    _probes: dict[str, _Probe] = field(factory=dict)

    async def acquire(
        self, address: str, require_fresh: bool, require_new: bool = False
    ) -> TargetConnection:
        """Return a connection that is ready for a request.

        :param require_fresh: whether the request must not run twice; connections with
            a longer idle time are then not reused.
        :param require_new: whether no connection is reused at all.
        :raises ConnectFailed: if no connection was opened in time.
        """
        pooled = self._idle.get(address, [])
        while pooled and not require_new:
            connection = pooled.pop()
            if self._usable(connection, require_fresh) and connection.has_no_input():
                return connection
            await connection.close()
        return await self._open(address)

    async def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        pooled = self._idle.setdefault(connection.address, [])
        if not connection.reusable or len(pooled) >= self.limits.max_idle_connections:
            await connection.close()
            return
        connection.idle_since_s = self.clock()
        pooled.append(connection)

    async def refuses_connections(self, address: str) -> bool:
        """Return whether no process listens at an address; False if undetermined.

        A terminating process closes its sockets in any order: it may still accept a
        connection and drop it at once. The probe is then repeated once.
        """
        host, _, port = address.rpartition(":")
        for _ in range(2):
            try:
                with anyio.fail_after(self.limits.refusal_timeout_s):
                    stream = await connect_tcp(host, int(port))
            except TimeoutError:
                return False
            except OSError as error:
                return _is_refusal(error)
            if not await _is_dropped(stream, self.limits.drop_timeout_s):
                return False
        return False

    async def probe(self, address: str, path: bytes) -> bool:
        """Return whether the process at an address responds; may wait for ever.

        Probes of one address at the same time share one request.
        """
        probe = self._probes.get(address)
        if probe is not None:
            await probe.ended.wait()
            return probe.responds
        probe = self._probes[address] = _Probe()
        try:
            probe.responds = await self._request(address, path)
        finally:
            del self._probes[address]
            probe.ended.set()
        return probe.responds

    async def _request(self, address: str, path: bytes) -> bool:
        """Return whether the process at an address answers a request."""
        fields = [(b"host", address.encode())]
        request = OutgoingRequest(b"GET", path, fields, b"")
        try:
            connection = await self.acquire(address, False)
        except ConnectFailed:
            return False
        responds = False
        try:
            await connection.send_request(request, lambda status, fields: True)
            await connection.discard_body()
            responds = True
        except AnswerBroken:
            pass
        finally:
            if responds:
                await self.release(connection)
            else:
                await connection.close()
        return responds

    async def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            await connection.close()

    def expire(self, address: str) -> None:
        """Prevent all idle connections to an address from being reused."""
        for connection in self._idle.get(address, []):
            connection.idle_since_s = -math.inf

    async def run(self) -> None:
        """Close idle connections that cannot be reused, until cancelled.

        Without that, those to a target that has gone would stay open for good.
        """
        while True:
            await anyio.sleep(self.limits.sweep_every_s)
            await self.sweep()

    async def sweep(self) -> None:
        """Close the idle connections that are too old to be reused."""
        for address, pooled in list(self._idle.items()):
            kept = [item for item in pooled if self._usable(item, False)]
            closed = [connection for connection in pooled if connection not in kept]
            pooled[:] = kept
            if not kept:
                del self._idle[address]
            for connection in closed:
                await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            await self.close_idle(address)

    def _usable(self, connection: TargetConnection, require_fresh: bool) -> bool:
        limits = self.limits
        allowed_s = limits.max_idle_s
        if connection.keep_alive_s is not None:
            allowed_s = connection.keep_alive_s * limits.keep_alive_share
        if require_fresh:
            allowed_s = min(allowed_s, limits.max_fresh_idle_s)
        return self.clock() - connection.idle_since_s <= allowed_s

    async def _open(self, address: str) -> TargetConnection:
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(self.limits.connect_timeout_s):
                stream = await connect_tcp(host, int(port), self.meter)
        except TimeoutError as error:
            detail = f"no connection within {self.limits.connect_timeout_s:g} s"
            raise ConnectFailed(detail) from error
        except OSError as error:
            raise ConnectFailed(str(error)) from error
        self.connections_opened += 1
        return TargetConnection(stream, address, self.clock(), self.connections_opened)


async def _is_dropped(stream: TcpStream, within_s: float) -> bool:
    """Return whether the peer drops a new connection, and close it."""
    try:
        with anyio.move_on_after(within_s):
            await stream.receive(1)
        return False
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        return True
    finally:
        await anyio.aclose_forcefully(stream)


def _is_refusal(error: OSError) -> bool:
    """Return whether an error means that no process listens.

    anyio raises its own error with the kernel's error as the cause.
    """
    cause = error.__cause__ if error.__cause__ is not None else error
    return isinstance(cause, OSError) and cause.errno == errno.ECONNREFUSED
