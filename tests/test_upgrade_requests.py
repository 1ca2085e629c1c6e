"""Requests that offer to change the protocol, which the router does not."""

from __future__ import annotations

import unittest

import anyio
import h11

from endivegw.dev.layout import SERVICE
from tests.platform_fleet import exchange
from tests.test_path import running_fleet


class UpgradeTests(unittest.TestCase):
    """
    Clients that offer HTTP/2 with each request, as Java's does, lose their bodies: the
    service runs an empty request and answers 200.
    """

    def test_body_of_an_upgrade_request_reaches_the_service(self) -> None:
        """The offer may be ignored, the body may not."""
        answers: list[tuple[int, bytes]] = []

        async def scenario() -> None:
            async with running_fleet(http_ports=(0,), log_level="error") as fleet:
                fields = [
                    ("host", "h.example"),
                    ("authorization", f"Bearer {fleet.accounts[0].key}"),
                    ("connection", "Upgrade, HTTP2-Settings"),
                    ("upgrade", "h2c"),
                    ("http2-settings", "AAMAAABkAAQAAP__"),
                    ("content-length", "5"),
                ]
                path = f"/services/{SERVICE}/status/1"
                request = h11.Request(method="POST", target=path, headers=fields)
                port = int(fleet.routers[0].url.rpartition(":")[2])
                answer = await exchange(port, request, b"hello")
                answers.append((answer.status, answer.body))

        anyio.run(scenario)
        self.assertEqual(answers, [(200, b"hello")])


if __name__ == "__main__":
    unittest.main()
