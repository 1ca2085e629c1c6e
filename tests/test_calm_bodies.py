"""Bodies within the limits, at processes that serve nobody else."""

from __future__ import annotations

import asyncio
import json
import signal
import unittest
from typing import Callable

from endivegw.dev.layout import MODEL, SERVICE
from tests.crowd import KIB, MIB, ask, chunk
from tests.process_fleet import process_fleet
from tests.router_process import RouterProcess, router_process

_CHUNKED = b"transfer-encoding: chunked\r\n"

#: The ways in which a caller may send a body.
_FORMS: dict[str, Callable[[bytes, bytes], bytes]] = {}


def _with_length(head: bytes, body: bytes) -> bytes:
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def _in_chunks(size: int) -> Callable[[bytes, bytes], bytes]:
    def send(head: bytes, body: bytes) -> bytes:
        parts = [body[i : i + size] for i in range(0, len(body), size)]
        chunks = b"".join(chunk(part) for part in parts)
        return head + _CHUNKED + b"\r\n" + chunks + b"0\r\n\r\n"

    return send


_FORMS["with a length"] = _with_length
_FORMS["in chunks of 64 KiB"] = _in_chunks(64 * KIB)
_FORMS["in chunks of 100 bytes"] = _in_chunks(100)


class DirectBodyTests(unittest.TestCase):
    """A direct router on a small machine."""

    _HEAD = (
        b"POST /notice/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer key-1\r\n"
        b"endivegw-attempt-id: a-1\r\n"
    )

    # Guards against limits on what is held that refuse what the configuration allows.
    def test_largest_body_is_served_in_each_form(self) -> None:
        # On the second machine, the share that callers may use is too small for it.
        for memory_mb in (128, 24):
            router = RouterProcess(memory_mb, 400, {"MaxBodyBytes": 4 * MIB})
            with router_process(router):
                for name, form in _FORMS.items():
                    request = form(self._HEAD, b"x" * (4 * MIB))
                    with self.subTest(memory_mb=memory_mb, form=name):
                        self.assertEqual(asyncio.run(ask(router.port, request)), 200)

    # Guards against a limit on slow bodies that refuses those that are on time.
    def test_slow_body_is_served_within_its_deadline(self) -> None:
        limits = {"MaxBodyBytes": MIB}
        router = RouterProcess(128, 400, limits, max_body_s=1.0)
        head = self._HEAD + b"endivegw-deadline-ms: 25000\r\n"

        async def scenario() -> int:
            return await ask(
                router.port, head + b"content-length: 2\r\n\r\nx", (3.0, b"x")
            )

        with router_process(router):
            self.assertEqual(asyncio.run(scenario()), 200)

    # Guards against a stop that unfinished bodies hold up, and that cuts them.
    def test_unfinished_body_is_refused_at_a_stop(self) -> None:
        router = RouterProcess(128, 400, {"MaxBodyBytes": MIB})
        unfinished = self._HEAD + b"content-length: 100\r\n\r\nx"

        async def scenario() -> int:
            answer = asyncio.create_task(ask(router.port, unfinished))
            await asyncio.sleep(0.5)
            router.running.send_signal(signal.SIGTERM)
            return await answer

        with router_process(router):
            self.assertEqual(asyncio.run(scenario()), 503)
            self.assertEqual(router.running.wait(30), 0)


class SidecarBodyTests(unittest.TestCase):
    """A router with sidecars."""

    # Guards against limits on what is held that refuse what the settings allow.
    def test_largest_body_is_served_in_each_form(self) -> None:
        messages = [{"role": "user", "content": "hello"}]
        document = {"model": MODEL, "messages": messages, "max_tokens": 20}
        padded = {**document, "metadata": "x" * (2 * MIB - KIB)}
        paths = {
            "/v1/chat/completions": json.dumps(padded).encode(),
            f"/services/{SERVICE}/status/7": b"x" * (4 * MIB),
        }
        with process_fleet(routers=1) as fleet:
            key = fleet.accounts[0].key.encode()
            for path, body in paths.items():
                head = b"POST %b HTTP/1.1\r\nhost: h\r\nauthorization: Bearer %b\r\n"
                for name, form in _FORMS.items():
                    request = form(head % (path.encode(), key), body)
                    with self.subTest(path=path, form=name):
                        status = asyncio.run(ask(fleet.http_ports[1], request))
                        self.assertEqual(status, 200)


if __name__ == "__main__":
    unittest.main()
