"""Callers that leave while their router stands still, over sockets."""

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
from tests.platform_fleet import PREPAID, AskedFleet, platform_fleet

#: Longer than everything that a caller does in these tests.
_PATIENCE_S = 10.0

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
    return socket.create_connection(("127.0.0.1", port), timeout=_PATIENCE_S)


def _stand_still(meanwhile: Callable[[], None]) -> None:
    """Hold the event loop up until callers have done something in a thread."""
    thread = threading.Thread(target=meanwhile)
    thread.start()
    thread.join()


def _ids(fleet: AskedFleet) -> set[str]:
    """Return the ids of all requests that reached a target."""
    runs: list[WorkerRun] = []
    for worker in fleet.workers.values():
        runs += worker.runs
    return {run.request_id for run in runs}


async def _open_connections_to_targets(fleet: AskedFleet) -> None:
    """Leave kept connections, so that a request that was read is sent at once."""
    for worker in fleet.workers.values():
        worker.event_pause_s = 0.02
    async with anyio.create_task_group() as tasks:
        for route in _ROUTES * 4:
            tokens = (100, 40) if route == "chat" else None
            tasks.start_soon(lambda r=route, t=tokens: fleet.ask(r, tokens=t))


@contextlib.contextmanager
def _nobody_accepts() -> Iterator[str]:
    """Yield an address at which connections are neither accepted nor refused."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        # The kernel takes one more than the length of the queue.
        for _ in range(2):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield f"127.0.0.1:{listener.getsockname()[1]}"


async def _hand_tokens(fleet: AskedFleet) -> float:
    """Return what the router holds and has not used."""
    page = await fleet.metrics()
    return float(page.split("\nendivegw_hand_tokens ")[1].split()[0])


async def _placed(fleet: AskedFleet) -> bool:
    """Return whether a target was chosen for any request."""
    page = await fleet.metrics()
    return float(page.split("\nendivegw_queue_seconds_count ")[1].split()[0]) > 0


async def _ends(fleet: AskedFleet) -> str:
    """Return how requests ended, for a failure's message."""
    page = await fleet.metrics()
    wanted = ("endivegw_requests", "endivegw_hand", "endivegw_reserved")
    return "\n".join(line for line in page.split("\n") if line.startswith(wanted))


class DepartureTests(unittest.TestCase):
    """
    A router stands still for a moment: its machine is frozen, or its processor is
    taken by a burst. A request and the end of its caller's connection both lie
    unread when it goes on. The router read the request, sent it to a target and only
    then read that the caller had left, so that targets worked for nobody: twenty
    requests reached theirs 2.6 seconds after the callers' time was over. The
    caller's side of it shows no harm, the target's owner sees work that no one asked
    for any more, and with a request that may not be repeated something is done that
    its caller has given up. One line told it: event 9102 places the request after
    its caller has gone, and event 9104 ends it as "caller-left" with one send.
    """

    def test_what_a_caller_left_in_a_stall_reaches_no_target(self) -> None:
        """Requests on new and on kept connections, closed while the loop stands."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                port = fleet.ports[0]
                await _open_connections_to_targets(fleet)
                kept = [await anyio.to_thread.run_sync(_connect, port) for _ in _ROUTES]

                def leave() -> None:
                    for route, connection in zip(_ROUTES, kept):
                        connection.sendall(_request(route, f"kept-{route}"))
                        connection.close()
                    for route in _ROUTES:
                        with _connect(port) as connection:
                            connection.sendall(_request(route, f"new-{route}"))

                before = _ids(fleet)
                _stand_still(leave)
                # One that is asked afterwards is answered after all that lay there.
                answer = await fleet.ask("print")
                self.assertEqual(answer.status, 200)
                await anyio.wait_all_tasks_blocked()
                reached = {name for name in _ids(fleet) - before if name[0] != "a"}
                self.assertEqual(reached, set())

        anyio.run(play)

    def test_what_never_left_the_router_is_not_charged(self) -> None:
        """
        A caller leaves while a connection to its target is still being made. Its
        request was sent nowhere, and its whole prompt was charged all the same: the
        account was spent before its time.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                with _nobody_accepts() as address:
                    for name in ("e-1", "e-2"):
                        entry = {"Service": "engine", "Address": address, "Zone": "z"}
                        fleet.store.put("servers", name, {**TARGET_ENTRY, **entry})
                    # Until then draws move what is in hand as well; the new
                    # addresses are known much sooner.
                    with anyio.fail_after(_PATIENCE_S):
                        while await _hand_tokens(fleet) < PREPAID * 0.9:
                            await anyio.sleep(0.05)
                    before = await _hand_tokens(fleet)
                    with _connect(fleet.ports[0]) as connection:
                        connection.sendall(_request("chat", "left"))
                        with anyio.move_on_after(_PATIENCE_S):
                            while not await _placed(fleet):
                                await anyio.sleep(0)
                        self.assertTrue(await _placed(fleet), await _ends(fleet))
                    with anyio.fail_after(_PATIENCE_S):
                        while 'outcome="caller-left"' not in await fleet.metrics():
                            await anyio.sleep(0.01)
                    self.assertEqual(await _hand_tokens(fleet), before)

        anyio.run(play)

    def test_who_waits_through_a_stall_is_answered(self) -> None:
        """A caller that is still there after the stall gets its answer."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                port = fleet.ports[0]
                waiting: list[socket.socket] = []

                def ask() -> None:
                    for route in _ROUTES:
                        connection = _connect(port)
                        connection.sendall(_request(route, f"waits-{route}"))
                        waiting.append(connection)

                _stand_still(ask)
                for connection in waiting:
                    head = await anyio.to_thread.run_sync(connection.recv, 12)
                    self.assertEqual(head, b"HTTP/1.1 200")
                    connection.close()

        anyio.run(play)


if __name__ == "__main__":
    unittest.main()
