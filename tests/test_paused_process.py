"""A process that is stopped for longer than a limit, while data arrives for it."""

from __future__ import annotations

import contextlib
import signal
import socket
import subprocess
import sys
import time
import unittest
from typing import Iterator

from endivegw_standins.ports import reserve_port
from tests.paused_process import LIMIT_S

_TIMEOUT_S = 20.0

#: Time in which the kernel delivers what was sent.
_DELIVERY_S = 0.1

_REQUEST = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nab"
_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@contextlib.contextmanager
def _process(role: str, port: int) -> Iterator[subprocess.Popen[bytes]]:
    command = [sys.executable, "-m", "tests.paused_process", role, str(port)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def _stop_while_sending(
    process: subprocess.Popen[bytes], connection: socket.socket, data: bytes
) -> None:
    """Stop a process for longer than the limit, and send it data meanwhile."""
    process.send_signal(signal.SIGSTOP)
    time.sleep(_DELIVERY_S)
    connection.sendall(data)
    time.sleep(LIMIT_S)
    process.send_signal(signal.SIGCONT)


def _connect(port: int) -> socket.socket:
    """Connect to a process that may not listen yet."""
    until_s = time.monotonic() + _TIMEOUT_S
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=_TIMEOUT_S)
        except ConnectionRefusedError:
            if time.monotonic() > until_s:
                raise
            time.sleep(0.02)


class PausedProcessTests(unittest.TestCase):
    """When the process goes on, its timers expire before it reads what has arrived."""

    # Guards against an idle limit that closes a connection with an unread request.
    def test_a_request_that_arrived_in_a_pause_is_answered(self) -> None:
        for role in ("router", "server"):
            port = reserve_port()
            with (
                self.subTest(role),
                _process(role, port) as process,
                _connect(port) as caller,
            ):
                caller.sendall(_REQUEST)
                self.assertIn(b" 200 ", caller.recv(1000))
                time.sleep(_DELIVERY_S)
                _stop_while_sending(process, caller, _REQUEST)
                self.assertIn(b" 200 ", caller.recv(1000))

    # Guards against the process's own pause taken for the silence of a target.
    def test_an_answer_that_arrived_in_a_pause_is_no_silence(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(_TIMEOUT_S)
            with _process("target", listener.getsockname()[1]) as process:
                target, _ = listener.accept()
                with target:
                    target.recv(1000)
                    _stop_while_sending(process, target, _ANSWER)
                    output, _ = process.communicate(timeout=_TIMEOUT_S)
        self.assertEqual(output.strip(), b"0")


if __name__ == "__main__":
    unittest.main()
