"""All routers are killed at once, and streams that clients take up again are refused."""

from __future__ import annotations

import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common2.deployment import (  # noqa: E402
    Answer,
    Connection,
    Deployment,
    anyio,
    connect,
    deployment,
    has_trouble,
    main,
)

MACHINES = {
    "front-hall-erie-1": "hall-erie",
    "front-hall-erie-2": "hall-erie",
    "front-hall-huron-1": "hall-huron",
    "front-hall-superior-1": "hall-superior",
}
VERSIONS = ("v1", "v1", "v2", "v2")
CLIENTS = 60
EVENTS = 12
EVENT_PAUSE_S = 0.04
DEADLINE_S = 15.0
CONTACT_S = 3.0

KILL_AT_S = 12.0
DOWN_S = 1.0
LENGTH_S = 34.0
#: When clients take up a stream that broke off: within their deadline, and when the
#: routers are in touch again.
TAKE_UP_S = 6.0
#: Tries of one client to take up a stream.
TRIES = 3
#: Fewest streams taken up again for which the rule holds.
LEAST = 12

CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {
            "Name": "r-explain",
            "Host": "lakes.example",
            "Prefix": "/explain/",
            "Kind": "streaming",
            "TimeoutMs": 15000,
            "TargetLatencyMs": 400,
            "Priority": 0,
            "Service": "planner",
            "MaxAttempts": 2,
            "Public": False,
            "Sticky": True,
            "Resumable": True,
            "GapTargetMs": 300,
        }
    ],
    "Services": [
        {
            "Name": "planner",
            "HealthCheckPath": "/health",
            "MaxConnections": 250,
            "Engine": {"Slots": 32, "Stride": 4, "KvCapacityTokens": 336834},
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "huka270", "ApiKeys": ["key-1"], "Prepaid": 1_000_000_000}],
}


class Case:
    def __init__(self, fleet: Deployment) -> None:
        self.fleet = fleet
        self.rng = random.Random(5)
        self.sent = 0
        #: Start and outcome of each new stream, and of each one that is taken up.
        self.new: list[tuple[float, bool]] = []
        self.taken_up: list[tuple[float, bool]] = []
        self.joined = 0

    async def client(self, number: int) -> None:
        """Send one request after the other, and take up streams that break off."""
        connection: Connection | None = None
        attempt = 0
        await anyio.sleep(self.rng.random())
        while True:
            if connection is None or not connection.usable:
                router = self.fleet.choose(number, attempt)
                connection = await connect(router) if router else None
            if connection is None:
                attempt += 1
                await anyio.sleep(0.2)
                continue
            began_s = self.fleet.record.now_s()
            name, answer = await self.send(connection, {}, DEADLINE_S)
            self.new.append((began_s, answer.status == 200))
            if not answer.complete and answer.events:
                await connection.close()
                await self.take_up(number, name, answer, began_s)
                connection = None
            attempt += 1
            await anyio.sleep(0.1 + 0.2 * self.rng.random())

    async def take_up(
        self, number: int, first: str, broken: Answer, began_s: float
    ) -> None:
        """Resume a stream within its deadline; a refusal is followed as told."""
        record = self.fleet.record
        await anyio.sleep(TAKE_UP_S)
        taken_up_s = record.now_s()
        goes_on = False
        events = broken.body.count(b"\n\n")
        for tries in range(TRIES):
            left_s = began_s + DEADLINE_S - record.now_s()
            router = self.fleet.choose(number, 1 + tries)
            connection = await connect(router) if router and left_s > 0.5 else None
            if connection is None:
                break
            fields = {"Last-Event-Id": str(events), "Resumes": first}
            _, answer = await self.send(connection, fields, left_s)
            await connection.close()
            if answer.status == 200:
                goes_on = answer.complete
                break
            await anyio.sleep(float(answer.fields.get("retry-after", "0.5")))
        if goes_on:
            # Each event names the version of the worker that made it.
            last = broken.body[: broken.body.rfind(b"\n\n")].split()[-1]
            first_event = answer.body.split(b"\n\n")[0]
            if first_event and not first_event.endswith(last):
                self.joined += 1
                record.write(f"{first} JOINED: {broken.body!r} and {answer.body!r}")
        self.taken_up.append((taken_up_s, goes_on))
        record.write(f"{first} taken up after {events} events: goes on {goes_on}")

    async def send(
        self, connection: Connection, more: dict[str, str], left_s: float
    ) -> tuple[str, Answer]:
        self.sent += 1
        name = f"{self.sent:08x}"
        fields = {
            "Endivegw-Attempt-Id": name,
            "Endivegw-Model": "m",
            "Endivegw-Token-Counts": f"826,{EVENTS * 4}",
            "Endivegw-Prompt-Prefix": f"5c1e07a2:198,{name}:628",
            "Endivegw-Deadline-Ms": str(int(left_s * 1000)),
            "Authorization": "Bearer key-1",
            **more,
        }
        answer = Answer()
        with anyio.move_on_after(left_s):
            answer = await connection.exchange(
                "POST", "/explain/2f", "lakes.example", fields, b"x" * 200, answer
            )
        self.fleet.record.write(
            f"{name} {connection.router.node}: {answer.status} events {answer.events}"
            f" complete {answer.complete} {answer.body[:60]!r}" * (answer.status != 200)
            or f"{name} {connection.router.node}: 200 events {answer.events}"
            f" complete {answer.complete}"
        )
        return name, answer


async def play() -> bool:
    async with deployment(pathlib.Path(__file__).resolve().parent) as fleet:
        record = fleet.record
        fleet.store.put("op", "config", CONFIGURATION)
        for number, version in enumerate(VERSIONS):
            worker, target = fleet.add_worker(f"i-{number}c3d", "planner", "hall-erie")
            worker.events, worker.event_pause_s = EVENTS, EVENT_PAUSE_S
            worker.software_version = target.software_version = version
            fleet.run_worker(target, 32)
        for node, zone in MACHINES.items():
            fleet.add_router(node, zone)
            fleet.start_router(node)
        fleet.tasks.start_soon(fleet.probe_routers)
        await fleet.wait_ready()
        await anyio.sleep(2.0)
        case = Case(fleet)
        begun_s = record.now_s()
        record.show("traffic begins")
        for number in range(CLIENTS):
            fleet.tasks.start_soon(case.client, number)

        async def until(at_s: float) -> None:
            await anyio.sleep(max(0.0, begun_s + at_s - record.now_s()))

        await until(KILL_AT_S)
        back_s = record.now_s()
        if has_trouble():
            for node in MACHINES:
                fleet.signal(node, signal.SIGKILL)
            await until(KILL_AT_S + DOWN_S)
            for node in MACHINES:
                fleet.start_router(node)
            back_s = record.now_s()
        await until(LENGTH_S)
        in_touch_s = back_s + CONTACT_S
        taken_up = [on for at_s, on in case.taken_up if at_s >= in_touch_s]
        new = [on for at_s, on in case.new if at_s >= in_touch_s]
        for worker in fleet.workers.values():
            for run in worker.runs:
                record.write(
                    f"{run.request_id} ran at {worker.instance_id}"
                    f" {worker.software_version}, {run.events} events"
                )
        goes_on = sum(taken_up) / max(1, len(taken_up))
        begins = sum(new) / max(1, len(new))
        record.show(
            f"streams taken up in touch: {len(taken_up)}, of which go on {goes_on:.3f}"
        )
        record.show(f"new streams in touch: {len(new)}, of which begin {begins:.3f}")
        record.show(f"streams joined from two versions: {case.joined}")
        broken = len(taken_up) >= LEAST and goes_on < begins / 2.0
        record.show(f"LOST is {'broken' if broken else 'kept'}")
        return broken


main(play)
