"""Randomised soak test: separate router processes under external faults.

``python -m tests.platform_soak --first 1 --seeds 50 --span-s 15`` runs seeds in
sequence and prints a line for each. Routers run as separate processes; the store, the
targets and a loopback proxy for each of them run in this one. The test checks what
callers and targets observe: no budget is overspent, requests that may run once run
once, requests reported as not run never ran, answers are complete and belong to the
caller, each whole request is answered, and the fleet recovers after the faults have
ended.
"""

from __future__ import annotations

import contextlib
import functools
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from typing import AsyncIterator, Iterator

import anyio
import click
from anyio.abc import SocketAttribute, TaskGroup
from attrs import define, field

from endivegw_standins.arrivals import most_arrivals
from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_target import PlatformTarget
from endivegw_standins.platform_worker import ExtraAnswer, PlatformWorker
from endivegw_standins.ports import reserve_datagram_port, reserve_port
from tests.caller_promises import (
    Evidence,
    IdleClose,
    Outcome,
    SentRequest,
    Span,
    find_early_close,
    find_excuse,
    find_violation,
)
from tests.platform_fleet import serve_asgi_on_loopback
from tests.soak_callers import Call, CallerLink
from tests.soak_configuration import KEY, SPARE_SERVICE, SoakConfiguration
from tests.soak_entries import SoakEntries
from tests.soak_proxy import Proxy

__all__ = ["SoakReport", "run_seed"]

#: Statuses that guarantee that a request did not run and never will.
_NOT_RUN = frozenset({402, 408, 421, 429, 503})

#: Statuses for requests that are wrong, as those of the callers are only at times.
_WRONG = frozenset({400, 401, 404, 413, 431})

_ROUTERS = 3
_CALLERS = 10
_PREPAID = 400_000
_TOKENS_PER_EVENT = 4
_EVENTS = 5
_GRACE_S = 8.0

#: Validity of token rows in this test; some stalls are longer.
_ROW_LASTS_S = 2.0
_MAX_STALL_S = 4.0

#: A request whose body starts with this prefix crashes each target that runs it. Each
#: route has two such bodies, which many callers send.
_CRASHING_PREFIX = b"deadly"
_CRASHING_SHARE = 0.04

#: Time for which a target is cold after its start and after an evacuation, and the
#: requests per second that it bears until then, as in the configuration.
_WARM_UP_S = 1.0
_COLD_RATE_PER_S = 12.0

#: Time within which routers that reach the store must follow an evacuation.
_EVACUATION_S = 1.0

#: Limit that a target states after all faults have ended, and the window in which its
#: requests are counted.
_LIMIT_PER_S = 1.5
_LIMIT_WINDOW_S = 4.0

#: Maximum number of runs of one crashing body after all faults have ended.
_MAX_CRASHING_RUNS = 3

#: Links of the first router and of the others, and the memory of each, as stated. A
#: burst of requests to the first one exceeds its link.
_SMALL_LINK_MBPS = 0.5
_LARGE_LINK_MBPS = 50.0
_MEMORY_MB = 100.0
_BURST = 20

#: Share of the callers' turns with pipelined requests, and with a body in two parts.
_PIPELINED_SHARE = 0.3
_PARTS_SHARE = 0.2

#: Share of the pauses of callers that last up to a share of the idle limit.
_LONG_IDLE_SHARE = 0.25
_IDLE_LIMIT_SHARE = 0.8

#: Routes and services of the targets.
_ROUTES = ("chat", "resumable", "print", "notice")
_PIPELINED_ROUTES = ("resumable", "print", "notice", "extra")

#: Folder of the logs of failed seeds.
_RESULTS = pathlib.Path("results")

#: Additional answers of targets; the last one carries the id of the request before.
_NOT_EXECUTED = "endivegw-not-executed: 1\r\n"
_EXTRA_ANSWERS = (
    ExtraAnswer(200),
    ExtraAnswer(400, fields=_NOT_EXECUTED),
    ExtraAnswer(421),
    ExtraAnswer(500),
    ExtraAnswer(503, fields=_NOT_EXECUTED),
    ExtraAnswer(503, fields=f"{_NOT_EXECUTED}retry-after: 5\r\nserver-leaving: 1\r\n"),
    ExtraAnswer(503, has_id=True, fields=_NOT_EXECUTED),
)

#: Sample routes whose requests may run at most once.
_ONCE = frozenset({"print", "chat"})


@define
class SoakReport:
    """Result of one seed.

    :ivar excuses: number of requests that were not answered, by what excuses it.
    :ivar violations: descriptions of the violated invariants.
    """

    seed: int
    answers: Counter[str] = field(factory=Counter)
    excuses: Counter[str] = field(factory=Counter)
    faults: list[str] = field(factory=list)
    violations: list[str] = field(factory=list)


class Soak:
    """Fleet, callers and faults of one seed."""

    def __init__(self, seed: int, folder: pathlib.Path, tasks: TaskGroup) -> None:
        self.report = SoakReport(seed)
        self.rng = random.Random(seed)
        self.folder = folder
        self.tasks = tasks
        self.store = PlatformStoreApp()
        self.workers: dict[str, PlatformWorker] = {}
        self.proxies: list[Proxy] = []
        self.targets: list[PlatformTarget] = []
        self.store_proxy = Proxy(0)
        self.store_port = 0
        #: Proxy between each router and the store, in front of the common one.
        self.router_proxies: dict[int, Proxy] = {}
        self.routers: dict[int, subprocess.Popen[bytes]] = {}
        self.ports: dict[int, int] = {}
        #: Name of each router's process, a new one with each start.
        self.incarnations: dict[int, str] = {}
        self.start_count = 0
        self.refused: set[str] = set()
        self.configuration = SoakConfiguration(_PREPAID, self.rng)
        self.entries = SoakEntries(self.store, self.rng)
        self.evidence = Evidence()
        self.sent: list[SentRequest] = []
        self.idle_closes: list[IdleClose] = []
        self.request_count = 0
        self.vm_count = 0
        self.calm = False
        #: Faults, and starts and ends of processes, each with the time of day.
        self.history: list[str] = []

    # Fleet.

    async def start(self) -> None:
        """Start the stand-ins, the proxies and the routers."""
        _, port = await self.tasks.start(serve_asgi_on_loopback, self.store)
        self.store_proxy.port = port
        self.store_port = await self._serve(self.store_proxy.serve)
        for name, service in (
            ("e-1", "engine"),
            ("e-2", "engine"),
            ("p-1", "plain"),
            ("s-1", SPARE_SERVICE),
        ):
            worker = self.workers[name] = PlatformWorker(name, event_pause_s=0.02)
            worker.crash_trigger = _CRASHING_PREFIX
            worker.reports = True
            target = PlatformTarget(name, service, worker, zone=f"zone-{name}")
            if service == "engine":
                target.warm_up_s = _WARM_UP_S
                worker.cold_rate_per_s = _COLD_RATE_PER_S
            self.targets.append(target)
            proxy = Proxy(target.port)
            self.proxies.append(proxy)
            address = f"127.0.0.1:{await self._serve(proxy.serve)}"
            self.entries.addresses.append((target, address))
            run = functools.partial(target.run, address=address, slots=16)
            self.tasks.start_soon(run, self.store)
        self.put_configuration()
        for number in range(_ROUTERS):
            self.router_proxies[number] = Proxy(self.store_port)
            await self._write_settings(number)
            self.start_router(number)
        with anyio.fail_after(20):
            while await self._call("notice") != "200":
                await anyio.sleep(0.1)

    @property
    def prepaid(self) -> int:
        """Return the tokens that the account has paid for."""
        return self.configuration.prepaid

    def put_configuration(self) -> None:
        """Write the newest configuration, like the operator."""
        now_s = anyio.current_time()
        self.evidence.idle_limits.append((now_s, self.configuration.idle_limit_s))
        self.evidence.time_outs.append((now_s, self.configuration.time_outs_s))
        self.store.put("op", "config", self.configuration.document)

    def start_router(self, number: int) -> None:
        """Start a router's process and redirect its output to a file."""
        self.start_count += 1
        self._record(f"router {number} is started")
        self.incarnations[number] = f"{number}.{self.start_count}"
        log = open(self.folder / f"router-{number}.log", "ab")
        settings = str(self.folder / f"router-{number}.ini")
        command = [sys.executable, "-m", "endivegw", "platform-router"]
        self.routers[number] = subprocess.Popen(
            [*command, "--settings", settings], stdout=log, stderr=log
        )
        log.close()

    def _record(self, what: str) -> None:
        self.history.append(f"{_clock(anyio.current_time())} {what}")

    def kill_all(self) -> None:
        """Kill the processes that this test started."""
        for process in self.routers.values():
            process.kill()
            process.wait()

    async def _serve(self, handler: object) -> int:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.tasks.start_soon(listener.serve, handler)
        return int(listener.extra(SocketAttribute.local_port))

    async def _write_settings(self, number: int) -> None:
        """Write the settings of a router on a new vm; the first has a small link."""
        self.vm_count += 1
        store_port = await self._serve(self.router_proxies[number].serve)
        link_mbps = _SMALL_LINK_MBPS if number == 0 else _LARGE_LINK_MBPS
        self.ports[number] = reserve_port()
        ready = reserve_port()
        peers = reserve_datagram_port()
        (self.folder / f"router-{number}.ini").write_text(
            f"[process]\nvm = vm-{self.vm_count}\navailability_zone = z\n"
            f"[listen]\ncallers = 127.0.0.1:{self.ports[number]}\n"
            f"ready = 127.0.0.1:{ready}\npeers = 127.0.0.1:{peers}\n"
            f"[store]\naddress = 127.0.0.1:{store_port}\nspread_rows = yes\n"
            f"[budgets]\nrow_lasts_s = {_ROW_LASTS_S}\n"
            f"[capacity]\nlink_mbps = {link_mbps}\nmemory_mb = {_MEMORY_MB}\n"
        )

    # Callers.

    async def caller(self) -> None:
        """Send requests on keep-alive connections until cancelled."""
        while True:
            number = self.rng.randrange(_ROUTERS)
            link = await self._open_link(number)
            if link is None:
                self.report.answers["not connected"] += 1
                await anyio.sleep(0.1)
                continue
            async with link:
                for _ in range(self.rng.randrange(1, 8)):
                    await self._send_some(link)
                    if not link.usable or not await self._stay_idle(link):
                        break

    async def _open_link(self, number: int) -> CallerLink | None:
        """Connect to a router; return None if it accepts no connections."""
        with contextlib.suppress(OSError):
            stream = await anyio.connect_tcp("127.0.0.1", self.ports[number])
            return CallerLink(stream, self.incarnations[number])
        return None

    async def _send_some(self, link: CallerLink) -> None:
        """Send one request, in two parts at times, or some pipelined ones."""
        if self.rng.random() < _PIPELINED_SHARE:
            count = self.rng.randrange(2, 4)
            known = [*_PIPELINED_ROUTES, *self.configuration.time_outs_s]
            choices = [route for route in known if known.count(route) > 1]
            routes = [self.rng.choice(choices) for _ in range(count)]
        else:
            routes = [self.rng.choice(_ROUTES)]
        calls = [self._new_call(route, link.router, may_crash=True) for route in routes]
        has_parts = len(calls) == 1 and self.rng.random() < _PARTS_SHARE
        await self._exchange(link, calls, self.rng.random() * 0.3 * has_parts)

    async def _stay_idle(self, link: CallerLink) -> bool:
        """Leave a connection idle; return whether it may be used again."""
        pause_s = self.rng.random() * 0.15
        if self.rng.random() < _LONG_IDLE_SHARE:
            limit_s = self.configuration.idle_limit_s
            pause_s = self.rng.random() * _IDLE_LIMIT_SHARE * limit_s
        is_open = await link.stay_idle(pause_s)
        now_s = anyio.current_time()
        if not is_open:
            close = IdleClose(link.router, link.idle_since_s, now_s)
            self.idle_closes.append(close)
            return False
        limit_s = self.evidence.shortest_idle_limit(now_s)
        return now_s - link.idle_since_s <= _IDLE_LIMIT_SHARE * limit_s

    async def _call(self, route: str, number: int | None = None) -> str:
        """Send a request on a new connection and return its outcome."""
        if number is None:
            number = self.rng.randrange(_ROUTERS)
        link = await self._open_link(number)
        if link is None:
            return "not connected"
        async with link:
            call = self._new_call(route, link.router)
            return (await self._exchange(link, [call]))[0]

    def _new_call(self, route: str, router: str, may_crash: bool = False) -> Call:
        self.request_count += 1
        request_id = f"{route}-{self.request_count}"
        body = request_id.encode()
        if may_crash and self.rng.random() < _CRASHING_SHARE:
            body = b"%b-%d" % (_CRASHING_PREFIX, self.rng.randrange(2))
        key = self.rng.choice(self.configuration.keys)
        fields = {
            "endivegw-attempt-id": request_id,
            "endivegw-deadline-ms": "3000",
            "authorization": f"Bearer {key}",
        }
        if route in ("chat", "resumable"):
            fields["endivegw-token-counts"] = f"{self.rng.randrange(50, 900)},40"
        now_s = anyio.current_time()
        return Call(SentRequest(request_id, route, router, now_s), fields, body)

    async def _exchange(
        self, link: CallerLink, calls: list[Call], pause_s: float = 0.0
    ) -> list[str]:
        """Send requests, record what came back and return the outcomes."""
        await link.exchange(calls, pause_s)
        outcomes = []
        for call in calls:
            self.sent.append(call.sent)
            if call.sent.outcome is Outcome.WHOLE:
                self._check_answer(call)
                outcomes.append(str(call.sent.status))
            else:
                outcomes.append(call.sent.outcome.name.lower())
        self.report.answers.update(outcomes)
        return outcomes

    # Checks.

    def _check_answer(self, call: Call) -> None:
        request_id, route = call.sent.request_id, call.sent.route
        if call.sent.status in _NOT_RUN:
            self.refused.add(request_id)
        is_quarantined = call.answer.startswith(b"quarantined")
        if is_quarantined and not call.body.startswith(_CRASHING_PREFIX):
            self._record_violation(
                f"{request_id} was quarantined though it crashed no target"
            )
        if call.sent.status in _WRONG and not self._may_be_rejected(call):
            self._record_violation(
                f"{request_id} at router {call.sent.router}, ended"
                f" {_clock(call.sent.ended_s)}, was answered {call.sent.status}"
                f" {call.answer[:80]!r}"
            )
        if call.sent.status != 200:
            return
        if route in ("print", "notice", "extra"):
            if call.answer != call.body:
                self._record_violation(
                    f"{request_id} got a wrong body: {call.answer[:60]!r}"
                )
            return
        ids = [line for line in call.answer.split(b"\n") if line.startswith(b"id:")]
        if ids != [f"id: {number}".encode() for number in range(1, _EVENTS + 1)]:
            self._record_violation(f"{request_id} got events {ids}")

    def _may_be_rejected(self, call: Call) -> bool:
        """Return whether a route or a key may be unknown, or a body quarantined."""
        match call.sent.status:
            case 400:
                return call.body.startswith(_CRASHING_PREFIX)
            case 401:
                return not call.fields["authorization"].endswith(KEY)
            case 404:
                return call.sent.route == "extra"
        return False

    def check(self) -> None:
        """Compare the runs at targets with the budget and the reported outcomes."""
        runs: Counter[str] = Counter()
        events: Counter[str] = Counter()
        prompts: dict[str, int] = {}
        for worker in self.workers.values():
            for run in worker.runs:
                runs[run.request_id] += 1
                counts = run.fields.get("endivegw-token-counts")
                if counts is not None:
                    prompts[run.request_id] = int(counts.split(",")[0])
                    events[run.request_id] += run.events
        spent = sum(prompts.values())
        spent += sum(_TOKENS_PER_EVENT * min(_EVENTS, n) for n in events.values())
        if spent > self.prepaid:
            self._record_violation(f"spent {spent} of {self.prepaid} tokens")
        for request_id, count in runs.items():
            if count > 1 and request_id.split("-")[0] in _ONCE:
                self._record_violation(f"{request_id} ran {count} times")
        for request_id in self.refused & set(runs):
            self._record_violation(
                f"{request_id} ran though its caller was told that it had not run"
            )

        for name, worker in self.workers.items():
            if worker.cold_crashes:
                self._record_violation(f"{name} crashed from requests while cold")

    def check_promises(self) -> None:
        """Check from the callers' side how each request and idle connection ended."""
        evidence = self.evidence
        for name, worker in self.workers.items():
            for run in worker.runs:
                evidence.ran_at.setdefault(run.request_id, set()).add(name)
            evidence.broken_off.update(worker.broken_request_ids)
        for target in self.targets:
            evidence.target_ends[target.name] = target.ended_s
        plain = {"p-1", "s-1"}
        evidence.targets = {
            **dict.fromkeys(("chat", "resumable"), {"e-1", "e-2"}),
            **dict.fromkeys(("print", "notice", "extra"), plain),
        }
        for request in self.sent:
            if excuse := find_excuse(request, evidence):
                self.report.excuses[excuse.name.lower()] += 1
            if violation := find_violation(request, evidence):
                before = request.before
                behind = f", behind {before.request_id}" if before else ""
                ran_at = sorted(evidence.ran_at.get(request.request_id, ()))
                self._record_violation(
                    f"{request.request_id} at router {request.router}, sent"
                    f" {_clock(request.began_s)}, ended {_clock(request.ended_s)}, ran"
                    f" at {ran_at}{behind}: {violation}"
                )
        for close in self.idle_closes:
            if violation := find_early_close(close, evidence):
                self._record_violation(
                    f"idle connection at router {close.router}, closed"
                    f" {_clock(close.closed_s)}: {violation}"
                )

    def crashing_runs(self) -> Counter[tuple[str, bytes]]:
        """Return the number of runs of each crashing body, by route."""
        runs = [run for worker in self.workers.values() for run in worker.runs]
        crashing = [run for run in runs if run.body.startswith(_CRASHING_PREFIX)]
        return Counter((run.request_id.split("-")[0], run.body) for run in crashing)

    def check_quarantine(self, before: Counter[tuple[str, bytes]]) -> None:
        """Check that crashing requests are quarantined after the faults have ended."""
        for name, runs in (self.crashing_runs() - before).items():
            if runs > _MAX_CRASHING_RUNS:
                self._record_violation(
                    f"{name} ran {runs} times after the faults had ended"
                )

    def _record_violation(self, violation: str) -> None:
        if violation not in self.report.violations:
            self.report.violations.append(violation)

    async def check_periodically(self) -> None:
        """Run the checks periodically until cancelled."""
        while True:
            self.check()
            await anyio.sleep(0.5)

    async def check_evacuation(self) -> None:
        """Check that an evacuated target gets nothing, and gets requests afterwards."""
        target = self.targets[0]
        self.store.put("op", f"evacuate/{target.zone}", {})
        await anyio.sleep(_EVACUATION_S)
        before = len(target.worker.runs)
        await self._call_streams(20)
        if len(target.worker.runs) > before:
            self._record_violation(f"{target.name} got requests while evacuated")
        self._end_evacuation(target)
        await anyio.sleep(2 * _WARM_UP_S)
        await self._call_streams(20)
        if len(target.worker.runs) == before:
            self._record_violation(f"{target.name} got nothing after its evacuation")

    async def _call_streams(self, count: int) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self._call, "resumable")

    def _end_evacuation(self, target: PlatformTarget) -> None:
        """Put a target's zone back into use; the target has become cold."""
        if target.warm_up_s:
            target.worker.make_cold(target.warm_up_s)
        self.store.drop("op", f"evacuate/{target.zone}")

    async def check_limit(self, settle_s: float) -> None:
        """Check that all routers together keep a limit that a target states.

        :param settle_s: time after which all earlier faults have ended.
        """
        worker = self.workers["e-2"]
        name = worker.instance_id
        worker.limit = str(_LIMIT_PER_S)
        await anyio.sleep(settle_s)
        from_s = anyio.current_time()
        await anyio.sleep(_LIMIT_WINDOW_S)
        most = most_arrivals(worker.arrivals_s, from_s, _LIMIT_WINDOW_S)
        # A worker that crashed meanwhile has no limit.
        if worker.instance_id != name:
            return
        worker.limit = None
        if most > 1.5 * _LIMIT_WINDOW_S * _LIMIT_PER_S + 5:
            self._record_violation(f"{name} got {most} requests beyond its limit")

    async def check_recovery(self) -> None:
        """Check that plain requests are served once the faults have ended."""
        served = 0
        for _ in range(20):
            served += await self._call("notice") == "200"
            await anyio.sleep(0.1)
        if served < 17:
            self._record_violation(f"served {served} of 20 after the faults had ended")

    # Faults.

    def settle(self) -> None:
        """End the faults that last until they are used up."""
        self.calm = True
        self.configuration.settle()
        self.put_configuration()
        for worker in self.workers.values():
            worker.remaining_silences = 0
            worker.remaining_extras = 0
            worker.limit = None

    async def inject_faults(self) -> None:
        """Inject random, overlapping faults until cancelled."""
        while True:
            await anyio.sleep(self.rng.random() * 1.5)
            fault = self.rng.choice(
                [self._kill, self._stop, self._pause, self._store, self._target]
                + [self._configure, self._configure_often, self._silence]
                + [self._configure_often, self._silence, self._stop]
                + [self._shed, self._leave, self._replace]
                + [self._evacuate, self._limit]
                + [self._turn_away, self._burst, self._read_nothing, self._extra]
                + [self.entries.list_former, self.entries.write_odd]
            )
            self.report.faults.append(fault.__name__.strip("_"))
            self._record(f"fault {fault.__name__}")
            self.tasks.start_soon(fault)

    async def _kill(self) -> None:
        number = self.rng.randrange(_ROUTERS)
        self._kill_router(number)
        await self._restart(number, 2.0)

    def _kill_router(self, number: int) -> None:
        """Kill a router's process and wait for its end."""
        self._record_loss(number, 0.0)
        self.routers[number].kill()
        self.routers[number].wait()

    def _record_loss(self, number: int, span_s: float) -> None:
        """Record that a router's process is lost from now on, for some time."""
        now_s = anyio.current_time()
        losses = self.evidence.losses.setdefault(self.incarnations[number], [])
        losses.append(Span(now_s, now_s + span_s))

    async def _replace(self) -> None:
        """Kill a router permanently and start another one on a new vm and address."""
        number = self.rng.randrange(_ROUTERS)
        process = self.routers[number]
        self._kill_router(number)
        await anyio.sleep(self.rng.random() * 0.5)
        if self.routers[number] is process:
            await self._write_settings(number)
            self.start_router(number)

    async def _stop(self) -> None:
        number = self.rng.randrange(_ROUTERS)
        if self.routers[number].poll() is None:
            stops_s = self.evidence.stops.setdefault(self.incarnations[number], [])
            stops_s.append(anyio.current_time())
        self.routers[number].terminate()
        await self._restart(number, _GRACE_S)

    async def _restart(self, number: int, within_s: float) -> None:
        process = self.routers[number]
        with anyio.move_on_after(within_s):
            while process.poll() is None:
                await anyio.sleep(0.05)
        self._record(f"router {number} has ended: {process.poll() is not None}")
        if process.poll() is None:
            self._kill_router(number)
        await anyio.sleep(self.rng.random() * 0.5)
        # Faults overlap, so another one may have restarted the router meanwhile.
        if self.routers[number] is process:
            self.start_router(number)

    async def _pause(self) -> None:
        number = self.rng.randrange(_ROUTERS)
        process = self.routers[number]
        if process.poll() is not None:
            return
        os.kill(process.pid, signal.SIGSTOP)
        stall_s = self.rng.random() * _MAX_STALL_S
        self._record_loss(number, stall_s)
        await anyio.sleep(stall_s)
        if process.poll() is None:
            os.kill(process.pid, signal.SIGCONT)

    async def _last(self, spans: list[Span], most_s: float) -> None:
        """Let a fault last for some time, and record it.

        It is recorded from its beginning on, because its effects are judged meanwhile.
        """
        now_s, span_s = anyio.current_time(), self.rng.random() * most_s
        spans.append(Span(now_s, now_s + span_s))
        await anyio.sleep(span_s)

    async def _store(self) -> None:
        mode = self.rng.choice(
            ["drop_all", "drop_answers", "reset", "slow", "down", "lost"]
        )
        match mode:
            case "slow":
                self.store_proxy.delay_s = 0.2
            case "down":
                self.store.down = True
            case "lost":
                self.store.lost_answers = 3
            case _:
                self.store_proxy.mode = mode
        await self._last(self.evidence.store_faults, 3.0)
        self.store_proxy.reset_all()
        self.store_proxy.mode, self.store_proxy.delay_s = "pass", 0.0
        self.store.down = False

    async def _turn_away(self) -> None:
        """Let the store turn one router away and serve the others."""
        proxy = self.router_proxies[self.rng.randrange(_ROUTERS)]
        proxy.mode = self.rng.choice(["drop_all", "drop_answers", "reset"])
        await self._last(self.evidence.store_faults, 3.0)
        proxy.reset_all()
        proxy.mode = "pass"

    async def _burst(self) -> None:
        """Send many requests of one account to one router at once."""
        number = self.rng.randrange(_ROUTERS)
        async with anyio.create_task_group() as tasks:
            for _ in range(_BURST):
                tasks.start_soon(self._call, self.rng.choice(_ROUTES), number)

    async def _read_nothing(self) -> None:
        """Open streams, read nothing of them and leave."""
        port = self.ports[self.rng.randrange(_ROUTERS)]
        request = (
            b"POST /resumable/x HTTP/1.1\r\nhost: h.example\r\n"
            b"content-length: 0\r\n"
            b"endivegw-attempt-id: unread-%d\r\nendivegw-deadline-ms: 3000\r\n"
            b"authorization: Bearer key-1\r\nendivegw-token-counts: 100,40\r\n\r\n"
        )
        for _ in range(_BURST):
            self.request_count += 1
            with contextlib.suppress(OSError, anyio.BrokenResourceError):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.send(request % self.request_count)
                    await anyio.sleep(self.rng.random() * 0.2)

    async def _target(self) -> None:
        number = self.rng.randrange(len(self.proxies))
        proxy, name = self.proxies[number], self.targets[number].name
        proxy.mode = self.rng.choice(["drop_all", "drop_answers", "reset", "pass"])
        proxy.delay_s = self.rng.choice([0.0, 0.05])
        await self._last(self.evidence.target_faults.setdefault(name, []), 2.0)
        proxy.reset_all()
        proxy.mode, proxy.delay_s = "pass", 0.0

    async def _configure(self) -> None:
        self.configuration.change()
        self.put_configuration()

    async def _configure_often(self) -> None:
        """Write several configurations a second."""
        for _ in range(self.rng.randrange(3, 12)):
            if self.calm:
                return
            await self._configure()
            await anyio.sleep(self.rng.random() * 0.3)

    async def _silence(self) -> None:
        """Let sound targets be silent once in some of their next requests."""
        workers = list(self.workers.values())
        for worker in self.rng.sample(workers, self.rng.choice([1, 2, len(workers)])):
            worker.silent_s = 0.8 + self.rng.random() * 1.2
            worker.silent_after_events = self.rng.randrange(_EVENTS)
            worker.remaining_silences += self.rng.randrange(1, 6)

    async def _shed(self) -> None:
        worker = self.rng.choice(list(self.workers.values()))
        worker.remaining_sheds += self.rng.randrange(1, 6)
        worker.retry_after = self.rng.choice([None, "0", "0.3", "1", "2.5", "soon"])
        if self.rng.random() < 0.5:
            worker.break_after_events = self.rng.randrange(1, _EVENTS)

    async def _extra(self) -> None:
        """Let targets send answers to none in addition to their next answers."""
        workers = list(self.workers.values())
        for worker in self.rng.sample(workers, self.rng.choice([1, len(workers)])):
            worker.extra_answer = self.rng.choice(_EXTRA_ANSWERS)
            worker.remaining_extras += self.rng.randrange(1, 20)

    async def _evacuate(self) -> None:
        target = self.rng.choice(self.targets)
        self.store.put("op", f"evacuate/{target.zone}", {})
        await anyio.sleep(self.rng.random() * 3.0)
        self._end_evacuation(target)

    async def _limit(self) -> None:
        worker = self.rng.choice(list(self.workers.values()))
        worker.limit = self.rng.choice(["0.4", "1", "2.5", "0", "soon", "nan", "-1"])
        await anyio.sleep(self.rng.random() * 3.0)
        # The limit of the check that follows the faults must stay.
        if not self.calm:
            worker.limit = None

    async def _leave(self) -> None:
        target = self.rng.choice(self.targets)
        worker, name = target.worker, target.worker.instance_id
        worker.leaving = True
        await anyio.sleep(self.rng.random() * 3.0)
        row = self.entries.read(name)
        if row is not None:
            self.store.put("servers", name, {**row, "State": "draining"})
        await anyio.sleep(2.0 + self.rng.random())
        # The worker may have crashed and restarted meanwhile.
        if worker.instance_id == name:
            worker.terminated.set()


@contextlib.asynccontextmanager
async def _soak(seed: int, results: pathlib.Path) -> AsyncIterator[Soak]:
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            soak = Soak(seed, pathlib.Path(folder), tasks)
            try:
                await soak.start()
                yield soak
                if soak.report.violations:
                    _save_logs(soak, results)
            finally:
                soak.kill_all()
                tasks.cancel_scope.cancel()


def _clock(at_s: float) -> str:
    """Return the time of day of a time, as in the routers' logs."""
    wall_s = time.time() - anyio.current_time() + at_s
    milliseconds = int(wall_s % 1.0 * 1000.0)
    return f"{time.strftime('%H:%M:%S', time.gmtime(wall_s))}.{milliseconds:03}"


def _save_logs(soak: Soak, results: pathlib.Path) -> None:
    """Copy the logs of a failed seed to a directory that outlives the run."""
    results = results / f"soak-{soak.report.seed}"
    results.mkdir(parents=True, exist_ok=True)
    for log in soak.folder.glob("*.log"):
        (results / log.name).write_bytes(log.read_bytes())
    (results / "history.log").write_text("\n".join(soak.history) + "\n")


async def run_seed(
    seed: int, span_s: float, results: pathlib.Path = _RESULTS
) -> SoakReport:
    """Run one seed: faults for the given time, then load without faults."""
    async with _soak(seed, results) as soak:
        async with anyio.create_task_group() as load:
            load.start_soon(soak.check_periodically)
            for _ in range(_CALLERS):
                load.start_soon(soak.caller)
            with anyio.move_on_after(span_s):
                await soak.inject_faults()
            soak.settle()
            load.start_soon(soak.check_limit, _GRACE_S)
            await anyio.sleep(_GRACE_S)
            before = soak.crashing_runs()
            await anyio.sleep(_LIMIT_WINDOW_S + 0.5)
            load.cancel_scope.cancel()
        soak.check_quarantine(before)
        await soak.check_recovery()
        await soak.check_evacuation()
        soak.check()
        soak.check_promises()
        return soak.report


def _reports(
    first: int, seeds: int, span_s: float, results: pathlib.Path
) -> Iterator[SoakReport]:
    for seed in range(first, first + seeds):
        yield anyio.run(run_seed, seed, span_s, results)


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=5, show_default=True, help="Number of seeds.")
@click.option("--span-s", default=10.0, show_default=True, help="Seconds with faults.")
@click.option(
    "--results",
    default=_RESULTS,
    show_default=True,
    type=click.Path(path_type=pathlib.Path),
    help="Folder of the logs of failed seeds.",
)
def main(first: int, seeds: int, span_s: float, results: pathlib.Path) -> None:
    """Run seeds in sequence; exit with 1 if an invariant was violated."""
    failed = 0
    for report in _reports(first, seeds, span_s, results):
        failed += bool(report.violations)
        answers = dict(sorted(report.answers.items()))
        excuses = dict(sorted(report.excuses.items()))
        click.echo(
            f"seed {report.seed}: {answers} excused {excuses}"
            f" faults {len(report.faults)}"
        )
        for violation in report.violations:
            click.echo(f"  BROKEN {violation}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
