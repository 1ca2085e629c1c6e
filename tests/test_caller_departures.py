"""Callers that disconnect while their router's event loop is blocked, over sockets."""

from __future__ import annotations

import contextlib
import socket
import threading
import unittest
from typing import Callable, Iterator

import anyio
import h11

from endivegw_standins.platform_target import TARGET_ENTRY
from endivegw_standins.platform_worker import WorkerRun
from tests.platform_fleet import PREPAID, ClientFleet, platform_fleet

#: Longer than any operation of a caller in these tests.
_TIMEOUT_S = 10.0

_ROUTES = ("print", "notice", "chat")


def _request(route: str, request_id: str) -> bytes:
    """Return the bytes of one request."""
    fields = [
        ("host", "h.example"),
        ("content-length", "5"),
        ("endivegw-attempt-id", request_id),
        ("endivegw-deadline-ms", "3000"),
        ("authorization", "Bearer key-1"),
    ]
    if route == "chat":
        fields.append(("endivegw-token-counts", "100,40"))
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method="POST", target=f"/{route}/x", headers=fields)
    parts = (request, h11.Data(data=b"hello"), h11.EndOfMessage())
    return b"".join(connection.send(part) or b"" for part in parts)


def _connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=_TIMEOUT_S)


def _block_event_loop(action: Callable[[], None]) -> None:
    """Block the event loop until a thread has run the callers' actions."""
    thread = threading.Thread(target=action)
    thread.start()
    thread.join()


def _received_request_ids(fleet: ClientFleet) -> set[str]:
    """Return the ids of all requests that reached a target."""
    runs: list[WorkerRun] = []
    for worker in fleet.workers.values():
        runs += worker.runs
    return {run.request_id for run in runs}


async def _open_connections_to_targets(fleet: ClientFleet) -> None:
    """Fill the connection pools, so that the router forwards requests immediately."""
    for worker in fleet.workers.values():
        worker.event_pause_s = 0.02
    async with anyio.create_task_group() as tasks:
        for route in _ROUTES * 4:
            tokens = (100, 40) if route == "chat" else None
            tasks.start_soon(lambda r=route, t=tokens: fleet.send_request(r, tokens=t))


@contextlib.contextmanager
def _unaccepting_listener() -> Iterator[str]:
    """Yield an address where connection attempts are neither accepted nor refused."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # The kernel queues one connection more than the backlog.
        for _ in range(2):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def _unused_tokens(fleet: ClientFleet) -> float:
    """Return the tokens that the router holds and has not reserved or used."""
    page = await fleet.metrics()
    return float(page.split("\nendivegw_hand_tokens ")[1].split()[0])


async def _any_request_placed(fleet: ClientFleet) -> bool:
    """Return whether a target was chosen for any request."""
    page = await fleet.metrics()
    return float(page.split("\nendivegw_queue_seconds_count ")[1].split()[0]) > 0


async def _request_metrics(fleet: ClientFleet) -> str:
    """Return the metrics of requests and tokens, for the message of a failure."""
    page = await fleet.metrics()
    wanted = ("endivegw_requests", "endivegw_hand", "endivegw_reserved")
    return "\n".join(line for line in page.split("\n") if line.startswith(wanted))


class DisconnectTests(unittest.TestCase):
    """
    A router stalls because its vm is frozen or its CPU is overloaded. When it resumes,
    a request and the end of its caller's connection are both unread. The router read
    the request, sent it to a target, and only then read the disconnect: 20 requests
    reached targets 2.6 s after their callers' deadlines. Callers notice nothing, but
    targets do useless work, and a request that may not be repeated runs although its
    caller has abandoned it. In the log, event 9102 places the request after its caller
    has disconnected, and event 9104 ends it as "caller-left" with one send.
    """

    def test_requests_closed_during_a_stall_reach_no_target(self) -> None:
        """Requests on new and on reused connections are closed during the stall."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                port = fleet.ports[0]
                await _open_connections_to_targets(fleet)
                reused = [
                    await anyio.to_thread.run_sync(_connect, port) for _ in _ROUTES
                ]

                def send_and_disconnect() -> None:
                    for route, connection in zip(_ROUTES, reused):
                        connection.sendall(_request(route, f"kept-{route}"))
                        connection.close()
                    for route in _ROUTES:
                        with _connect(port) as connection:
                            connection.sendall(_request(route, f"new-{route}"))

                before = _received_request_ids(fleet)
                _block_event_loop(send_and_disconnect)
                # A later request is answered after all unread requests were processed.
                answer = await fleet.send_request("print")
                self.assertEqual(answer.status, 200)
                await anyio.wait_all_tasks_blocked()
                reached = {
                    name
                    for name in _received_request_ids(fleet) - before
                    if name[0] != "a"
                }
                self.assertEqual(reached, set())

        anyio.run(scenario)

    def test_request_that_was_not_sent_is_not_charged(self) -> None:
        """
        A caller disconnects while the router is still connecting to the target. The
        request was not sent, but its whole prompt was charged, so that the account
        was exhausted too early.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                with _unaccepting_listener() as address:
                    for name in ("e-1", "e-2"):
                        entry = {"Service": "engine", "Address": address, "Zone": "z"}
                        fleet.store.put("servers", name, {**TARGET_ENTRY, **entry})
                    # Until then, draws change the held tokens as well. The router
                    # learns the new addresses much sooner.
                    with anyio.fail_after(_TIMEOUT_S):
                        while await _unused_tokens(fleet) < PREPAID * 0.9:
                            await anyio.sleep(0.05)
                    before = await _unused_tokens(fleet)
                    with _connect(fleet.ports[0]) as connection:
                        connection.sendall(_request("chat", "left"))
                        with anyio.move_on_after(_TIMEOUT_S):
                            while not await _any_request_placed(fleet):
                                await anyio.sleep(0)
                        self.assertTrue(
                            await _any_request_placed(fleet),
                            await _request_metrics(fleet),
                        )
                    with anyio.fail_after(_TIMEOUT_S):
                        while 'outcome="caller-left"' not in await fleet.metrics():
                            await anyio.sleep(0.01)
                    self.assertEqual(await _unused_tokens(fleet), before)

        anyio.run(scenario)

    def test_caller_that_stays_connected_through_a_stall_is_answered(self) -> None:
        """A caller that is still connected after the stall gets its answer."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                port = fleet.ports[0]
                waiting: list[socket.socket] = []

                def send_requests() -> None:
                    for route in _ROUTES:
                        connection = _connect(port)
                        connection.sendall(_request(route, f"waits-{route}"))
                        waiting.append(connection)

                _block_event_loop(send_requests)
                for connection in waiting:
                    head = await anyio.to_thread.run_sync(connection.recv, 12)
                    self.assertEqual(head, b"HTTP/1.1 200")
                    connection.close()

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
