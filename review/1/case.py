"""A router is stopped while configurations arrive and the store is slow."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time
from collections import Counter

from fleet import Fleet, Record, exchange, run_case

PREPAID = 200_000
INPUT, OUTPUT = 400, 20

#: The dose of ``platform_slow`` and ``config_storm`` in the site file.
SLOW_X, SLOW_S = 97.0, 5.5
STORM_GAP_S, STORM_S = 0.33, 4.0

#: Share of the budget into which an owed request must fit (RULES.md, Credit).
OWED_SHARE = 0.97


def configuration(version: int) -> dict:
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
        "Services": [{"Name": "lm", "HealthCheckPath": "/health", "Engine": {"Stride": 4}}],
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


async def stop_and_start(fleet: Fleet, record: Record, number: int) -> None:
    """Stop a router like the platform, and start it again."""
    router = fleet.routers[number]
    record.add(f"SIGTERM to {router.name}")
    router.signal(signal.SIGTERM)
    code = await router.wait_end(8.0)
    record.add(f"{router.name} ended with {code}")
    if code is None:
        await router.kill()
    await router.start()


async def case(fleet: Fleet, record: Record, trouble: bool) -> int:
    """Stop one router in order, then use up the budget."""
    if not await fleet.start(configuration(1), routers=4, workers=3):
        record.add("not every router became ready")
        return 2
    await asyncio.sleep(4.0)
    clients = Clients(fleet, record)
    for number in range(8):
        await clients.send(number % 4)
    if clients.answers[200] != 8:
        record.add(f"no calm start: {dict(clients.answers)}")
        return 2
    record.add(f"drawn: {drawn(fleet)}; budgets: {fleet.store.table('token-budgets')}")

    async def storm() -> None:
        await asyncio.sleep(1.0)
        version = 1
        end_s = time.monotonic() + STORM_S
        while time.monotonic() < end_s:
            version += 1
            fleet.store.put("op", "config", configuration(version))
            await asyncio.sleep(STORM_GAP_S)
        record.add(f"{version - 1} configurations were written")

    async def slow() -> None:
        fleet.store.slow_x = SLOW_X if trouble else 1.0
        record.add(f"the store answers {fleet.store.slow_x:g} times slower")
        await asyncio.sleep(SLOW_S)
        fleet.store.slow_x = 1.0
        record.add("the store is calm")

    await asyncio.gather(storm(), slow(), stop_and_start(fleet, record, 0))
    if not await fleet.routers[0].wait_ready():
        record.add("the router did not come back")
        return 2
    # ContactMs, so that all machines are in touch.
    await asyncio.sleep(4.0)
    record.add(f"drawn: {drawn(fleet)}; budgets: {fleet.store.table('token-budgets')}")

    async def client(number: int) -> None:
        exhausted = 0
        while exhausted < 6:
            status = await clients.send(number % 4)
            exhausted = exhausted + 1 if status != 200 else 0
            await asyncio.sleep(0.02)

    await asyncio.gather(*(client(number) for number in range(8)))
    allowed = 5 + clients.sent / 500
    record.add(
        f"{clients.sent} requests sent; answers {dict(clients.answers)}; "
        f"{clients.consumed()} of {PREPAID} tokens used"
    )
    record.add(
        f"{clients.false_refusals} requests were answered 402 although the budget "
        f"covered them; allowed: {allowed:.1f}"
    )
    return int(clients.false_refusals > allowed)


def drawn(fleet: Fleet) -> dict[str, list[int]]:
    """Return what each router's row says: drawn tokens and their limit."""
    rows = fleet.store.table("token-holders")
    return {vm: row["accounts"].get("hotel", [])[:2] for vm, row in rows.items()}


run_case(pathlib.Path(__file__).resolve().parent, case)
