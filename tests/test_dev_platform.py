"""Tests of the command ``endivegw dev --platform``."""

from __future__ import annotations

import shlex
import signal
import subprocess
import sys
import unittest
import urllib.request


class DevPlatformTests(unittest.TestCase):
    """Start the command, send its example request and stop it."""

    def test_the_printed_line_is_answered(self) -> None:
        """The printed curl command is answered, and SIGINT drains the fleet."""
        command = [sys.executable, "-m", "endivegw", "dev", "--platform"]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
            self.addCleanup(process.kill)
            assert process.stdout is not None
            line = next(line for line in process.stdout if line.startswith("curl "))
            words = shlex.split(line)
            fields = [words[at + 1] for at, word in enumerate(words) if word == "-H"]
            headers = dict(field.split(": ") for field in fields)
            request = urllib.request.Request(words[-1], b"hello", headers)
            with urllib.request.urlopen(request, timeout=10) as answer:
                self.assertEqual(answer.read().count(b"id: "), 5)
            process.send_signal(signal.SIGINT)
            self.assertIn("stopped", process.stdout.read())
            self.assertEqual(process.wait(20), 0)


if __name__ == "__main__":
    unittest.main()
