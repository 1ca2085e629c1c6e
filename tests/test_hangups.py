"""SIGHUP that arrives while a router starts or ends."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from endivegw_standins.ports import reserve_datagram_port, reserve_port

ROOT = pathlib.Path(__file__).resolve().parent.parent
_TIMEOUT_S = 20.0

#: Runs the launcher up to its first import of a library, and prints whether SIGHUP
#: would end the process there.
_UP_TO_A_LIBRARY = """
import runpy, signal, sys

class FirstLibrary:
    def find_spec(self, name, path=None, target=None):
        if name in ("anyio", "attrs", "click", "logbook"):
            print(signal.getsignal(signal.SIGHUP) is signal.SIG_DFL, flush=True)
            raise SystemExit
        return None

sys.meta_path.insert(0, FirstLibrary())
runpy.run_path("deploy/launch.py", run_name="__main__")
"""


class HangupTests(unittest.TestCase):
    """A router is told that its settings file changed before its event loop runs."""

    # Guards against a process that ends by SIGHUP while it imports libraries.
    def test_no_library_is_imported_before_hangups_are_recorded(self) -> None:
        printed = subprocess.run(
            [sys.executable, "-c", _UP_TO_A_LIBRARY],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
        )
        self.assertEqual(printed.stdout, "False\n", printed.stderr)

    # Guards against a process that ends by SIGHUP, and a change that is not noticed.
    def test_the_settings_are_checked_after_the_start(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "router.ini"
            path.write_text(_settings())
            process = subprocess.Popen(
                [sys.executable, "deploy/launch.py"],
                cwd=ROOT,
                env={**os.environ, "ENDIVEGW_SETTINGS": str(path)},
                stdout=subprocess.PIPE,
                text=True,
            )
            try:
                _wait_handled(process.pid)
                process.send_signal(signal.SIGHUP)
                self.assertTrue(_has_event(process, "relay-settings-read"))
                process.send_signal(signal.SIGTERM)
                self.assertTrue(_has_event(process, "relay-stopped"))
                while process.poll() is None:
                    process.send_signal(signal.SIGHUP)
                    time.sleep(0.001)
                self.assertEqual(process.returncode, 0)
            finally:
                process.kill()
                process.communicate()


def _settings() -> str:
    """Return the settings of a router whose store does not answer."""
    callers, ready, store = (reserve_port() for _ in range(3))
    return (
        "[process]\nvm = vm-1\navailability_zone = a\n"
        f"[listen]\ncallers = 127.0.0.1:{callers}\nready = 127.0.0.1:{ready}\n"
        f"peers = 127.0.0.1:{reserve_datagram_port()}\n"
        f"[store]\naddress = 127.0.0.1:{store}\n"
    )


def _wait_handled(pid: int) -> None:
    """Wait until a process has a handler for SIGHUP."""
    until_s = time.monotonic() + _TIMEOUT_S
    while time.monotonic() < until_s:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        caught = int(status.split("SigCgt:")[1].split()[0], 16)
        if caught >> (signal.SIGHUP - 1) & 1:
            return
        time.sleep(0.001)
    raise TimeoutError("the process does not handle SIGHUP")


def _has_event(process: subprocess.Popen[str], name: str) -> bool:
    """Return whether a process logs an event before it ends."""
    assert process.stdout is not None
    timer = threading.Timer(_TIMEOUT_S, process.kill)
    timer.start()
    try:
        return any(json.loads(line)["message"] == name for line in process.stdout)
    finally:
        timer.cancel()


if __name__ == "__main__":
    unittest.main()
