"""A tenant with a prepaid budget, and clients that use it up."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from fleet import Fleet, Record, exchange

PREPAID = 200_000
INPUT, OUTPUT = 400, 20

#: Share of the budget into which an owed request must fit (RULES.md, Credit).
OWED_SHARE = 0.97


def configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration; versions differ in one time-out."""
    return {
        "Version": version,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Routes": [
            {
                "Name": "chat",
                "Host": "h.example",
                "Prefix": "/chat/",
                "Kind": "streaming",
                "TimeoutMs": 15000 + version % 7,
                "TargetLatencyMs": 400,
                "GapTargetMs": 300,
                "Service": "lm",
                "MaxAttempts": 1,
                "Priority": 0,
                "Sticky": True,
            }
        ],
        "Services": [
            {"Name": "lm", "HealthCheckPath": "/health", "Engine": {"Stride": 4}}
        ],
        "Tenants": [{"Name": "hotel", "ApiKeys": ["key-1"], "Prepaid": PREPAID}],
    }


class Clients:
    """Send requests and count their answers."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.sent = 0
        self.answers: Counter[int] = Counter()
        #: Requests that were answered 402 although the budget covered them.
        self.false_refusals = 0
        self.in_progress = 0

    def consumed(self) -> int:
        """Return the tokens that workers have used: input once, output as sent."""
        runs = [run for worker in self.fleet.workers for run in worker.runs]
        return sum(run.input_tokens + 4 * run.events for run in runs)

    async def send(self, router: int) -> int:
        """Send one request; come back after a refusal that says when."""
        size = INPUT + OUTPUT
        for _ in range(4):
            self.sent += 1
            # Counted at their most: what was used, and all requests in progress.
            self.in_progress += 1
            most = self.consumed() + self.in_progress * size
            name = f"{self.sent:016x}"
            answer = await exchange(
                self.fleet.routers[router].port,
                "POST",
                "/chat/x",
                {
                    "host": "h.example",
                    "endivegw-attempt-id": name,
                    "endivegw-deadline-ms": 15000,
                    "endivegw-model": "m",
                    "endivegw-token-counts": f"{INPUT},{OUTPUT}",
                    "endivegw-prompt-prefix": f"{self.sent:08x}:{INPUT}",
                    "authorization": "Bearer key-1",
                },
                b"{}",
            )
            self.in_progress -= 1
            status = answer.status if answer is not None else 0
            self.answers[status] += 1
            if status == 402 and most <= OWED_SHARE * PREPAID:
                self.false_refusals += 1
                if self.false_refusals <= 12:
                    self.record.add(
                        f"request {name} to {self.fleet.routers[router].name}: 402, "
                        f"{most} of {PREPAID} tokens used at most"
                    )
            if status != 503:
                return status
            wait_s = float(answer.fields.get("retry-after", "0.5"))
            await asyncio.sleep(min(5.0, wait_s))
            router = (router + 1) % len(self.fleet.routers)
        return status

    async def use_up(self, clients: int = 8) -> None:
        """Send requests until each client was refused six times in a row."""

        async def client(number: int) -> None:
            refused = 0
            while refused < 6:
                status = await self.send(number % len(self.fleet.routers))
                refused = refused + 1 if status != 200 else 0
                await asyncio.sleep(0.02)

        await asyncio.gather(*(client(number) for number in range(clients)))

    def judge(self) -> int:
        """Record the answers; return 1 if too many requests were refused wrongly."""
        allowed = 5 + self.sent / 500
        self.record.add(
            f"{self.sent} requests sent; answers {dict(self.answers)}; "
            f"{self.consumed()} of {PREPAID} tokens used"
        )
        self.record.add(
            f"{self.false_refusals} requests were answered 402 although the budget "
            f"covered them; allowed: {allowed:.1f}"
        )
        return int(self.false_refusals > allowed)


def accounts(fleet: Fleet) -> str:
    """Return what the system's rows say: drawn in all, and by each router."""
    total = fleet.store.table("token-budgets").get("hotel", {}).get("drawn", 0)
    rows = fleet.store.table("token-holders")
    parts = {vm: row["accounts"].get("hotel", [0])[0] for vm, row in rows.items()}
    lost = total - sum(parts.values())
    return f"drawn in all: {total}; by router: {parts}; in no row: {lost}"
