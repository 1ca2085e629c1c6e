"""Requests that are in progress when the time for a router's drain has passed."""

import signal
import socket
import threading
import unittest

from endivegw.dev.layout import LOOPBACK, SERVICE
from tests.process_fleet import process_fleet
from tests.test_processes import chat, headers, open_stream, post, wait_until

#: Longer than anything that a test waits for.
FOR_EVER_S = 60.0


def raw_requests(fleet, count):
    """Return requests to the service that are sent at once on one connection."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers(fleet))
    text = (
        f"POST /services/{SERVICE}/notices HTTP/1.1\r\nhost: a\r\n{fields}"
        "idempotency-key: k-%d\r\ncontent-length: 2\r\n\r\nhi"
    )
    return "".join(text % number for number in range(count)).encode()


class DrainAnswerTests(unittest.TestCase):
    """Targets answer nothing before the time for the drain has passed."""

    # Guards against requests that the end of a drain cancels without a whole answer.
    def test_each_request_gets_an_answer(self):
        with process_fleet(routers=1, drain_bound_s=1) as fleet:
            (service,) = fleet.services.values()
            service.options.delay_s = FOR_EVER_S
            for engine in fleet.engines.values():
                engine.options.decode_tokens_per_s = 10.0
            replies = {}

            def send(name, *arguments, **more):
                replies[name] = post(fleet, 1, *arguments, **more)

            path = f"/services/{SERVICE}/notices"
            requests = [
                threading.Thread(
                    target=send,
                    args=("service", b"hi", path),
                    kwargs={"idempotency_key": "k"},
                ),
                threading.Thread(target=send, args=("object", chat("a len=200"))),
            ]
            for request in requests:
                request.start()
            pool, context = open_stream(fleet, 1, chat("b len=200", stream=True))
            with (
                socket.create_connection((LOOPBACK, fleet.http_ports[1]), 20) as raw,
                pool,
                context as response,
            ):
                raw.sendall(raw_requests(fleet, 3))
                chunks = response.iter_stream()
                data = next(chunks)
                wait_until(lambda: len(service.bodies) == 2, 20, "two calls")
                fleet.routers[1].send_signal(signal.SIGTERM)
                data += b"".join(chunks)
                pipelined = b""
                while received := raw.recv(2**16):
                    pipelined += received
            for request in requests:
                request.join(30)
            self.assertIn(b"event: error\n", data)
            for name in ("service", "object"):
                reply = replies[name]
                fields = dict(reply.headers)
                self.assertEqual(reply.status, 502, (name, reply))
                self.assertEqual(fields[b"endivegw-outcome"], b"unknown")
            self.assertEqual(pipelined.count(b"HTTP/1.1 "), 3, pipelined)
            self.assertEqual(pipelined.count(b"endivegw-outcome: "), 3, pipelined)
            self.assertEqual(fleet.routers[1].wait(30), 0)


if __name__ == "__main__":
    unittest.main()
