"""Measure the propagation time of configuration changes and its cost.

Propagation is simulated in virtual time with the production views and schedulers of
1,020 processes, with the heartbeat intervals of membership. Bytes and CPU time are
measured over a loopback connection to the stand-in table.
"""

from __future__ import annotations

import argparse
import random
import socket
import statistics
import threading
import time
import tracemalloc
from typing import Callable

import anyio
from anyio.from_thread import start_blocking_portal
from attrs import define, field, frozen

from endivegw.commands.account import create_account
from endivegw.commands.changes import Operation
from endivegw.configuration.codec import (
    ChangesMessage,
    DocumentsMessage,
    encode_message,
    parse_message,
)
from endivegw.configuration.documents import (
    AccountDocument,
    Documents,
    TargetDocument,
    TemplateDocument,
    resolve,
    resolve_changed,
)
from endivegw.configuration.model import TargetKind, TargetParameters
from endivegw.configuration.parameters import Parameters
from endivegw.configuration.reports import AdoptionReport, write_report
from endivegw.configuration.spread import SyncSettings
from endivegw.configuration.store import load_changes
from endivegw.membership.policy import MembershipPolicy
from endivegw.results import Done
from endivegw.services.dynamo_table import DynamoTable
from endivegw.services.signing import Credentials
from endivegw_standins.platform_app import StandinPlatform
from endivegw_standins.serving import served
from endivegw_standins.spread_world import SimulationSettings, SyncSimulation

ROUTERS, SIDECARS, ZONES = 370, 650, 7
ACCOUNTS, BUDGETS = 280, 99_000
CHANGES_PER_DAY = 1000
DAY_S = 86_400

#: Virtual time in which all processes start and reach a steady state.
SETTLE_S = 20.0

#: Time after which a process counts as not reached.
TIMEOUT_S = 60.0

#: Interval at which propagation is sampled.
STEP_S = 0.02


@frozen
class Fault:
    """A fault and the functions that inject it.

    :param after_commit: called directly after the change was committed.
    :param before_commit: called 2 s or more before the change is committed.
    :param table_delay_s: response time of the table.
    """

    name: str
    after_commit: Callable[[SyncSimulation], None] = lambda simulation: None
    before_commit: Callable[[SyncSimulation], None] = lambda simulation: None
    table_delay_s: float = 0.01


@define
class Propagation:
    """Propagation times and table reads of changes under one fault.

    :ivar seconds: time until a process served under the change, for each process.
    :ivar unreached: processes that did not serve under the change in time.
    :ivar reached_before: processes that had the change when the partition healed.
    :ivar reads_per_s: mean table reads per second, for each change.
    :ivar peak_reads: maximum of table reads in one second.
    """

    seconds: list[float] = field(factory=list)
    unreached: int = 0
    reached_before: int = 0
    reads_per_s: list[float] = field(factory=list)
    peak_reads: int = 0


def new_simulation(seed: int, table_delay_s: float) -> SyncSimulation:
    """Return a simulated fleet of the target size in a steady state."""
    policy = MembershipPolicy()
    settings = SimulationSettings(
        routers=ROUTERS,
        sidecars=SIDECARS,
        zones=ZONES,
        routers_per_sidecar=round(ROUTERS * policy.targets_per_router / SIDECARS),
        heartbeat_s=policy.heartbeat_interval_s,
        router_partners=policy.routers_per_router,
        router_heartbeat_s=policy.router_interval_s,
        table_delay_s=table_delay_s,
    )
    simulation = SyncSimulation(settings, random.Random(seed))
    simulation.commit("t", 1.0)
    simulation.run_until(SETTLE_S)
    return simulation


def zone_of(index: int) -> int:
    """Return the zone of a process, or -1 for the stores, which have index -1."""
    return index % ZONES if index >= 0 else -1


def isolate_zone_from_stores(simulation: SyncSimulation) -> None:
    """Partition one zone from the table and object store, but not from peers."""
    simulation.partitioned = lambda sender, receiver: -1 in (
        sender,
        receiver,
    ) and 0 in (
        zone_of(sender),
        zone_of(receiver),
    )


def limit_stores_to_one_router(simulation: SyncSimulation) -> None:
    """Make the stores reachable for one router only."""
    simulation.partitioned = (
        lambda sender, receiver: -1 in (sender, receiver) and max(sender, receiver) != 0
    )


def restrict_zone_to_one_way(simulation: SyncSimulation) -> None:
    """Drop messages from one zone to the stores and to all other zones but one."""
    simulation.partitioned = lambda sender, receiver: zone_of(sender) == 0 and zone_of(
        receiver
    ) not in (
        0,
        6,
    )


def lose_messages(simulation: SyncSimulation) -> None:
    """Drop 10% of the messages between processes and duplicate another 10%."""
    simulation.loss = 0.1
    simulation.duplication = 0.1
    simulation.extra_delay_s = 0.2


def drop_peer_messages(simulation: SyncSimulation) -> None:
    """Drop all messages between processes."""
    simulation.partitioned = lambda sender, receiver: sender >= 0 and receiver >= 0


def disable_stores(simulation: SyncSimulation) -> None:
    """Make the table and object store unavailable 50 ms after the commit."""
    simulation.run_until(simulation.now_s + 0.05)
    simulation.table_up = False
    simulation.objects_up = False


def isolate_region(simulation: SyncSimulation) -> None:
    """Partition three zones from the other zones and the stores for 30 s."""
    isolated_zones = (4, 5, 6)
    simulation.partitioned = lambda sender, receiver: (
        zone_of(sender) in isolated_zones
    ) != (zone_of(receiver) in isolated_zones)
    simulation.run_until(simulation.now_s + 30.0)
    simulation.partitioned = lambda sender, receiver: False


FAULTS = (
    Fault("none"),
    Fault("table answers after 1.5 s", table_delay_s=1.5),
    Fault("no process hears another", before_commit=drop_peer_messages),
    Fault("10% of peers' messages lost, 10% doubled", before_commit=lose_messages),
    Fault("one zone cut off from the table", before_commit=isolate_zone_from_stores),
    Fault(
        "one zone sends to one other zone only", before_commit=restrict_zone_to_one_way
    ),
    Fault(
        "one router alone reaches the table", before_commit=limit_stores_to_one_router
    ),
    Fault("table and objects away 50 ms after the change", after_commit=disable_stores),
)

#: A partition that leaves no path for a time; times count from the end of it.
HEALED = Fault(
    "region cut off for 30 s, from its return on", after_commit=isolate_region
)


def measure(fault: Fault, seed: int, changes: int) -> Propagation:
    """Commit changes under a fault and measure their propagation."""
    result = Propagation()
    for number in range(changes):
        simulation = new_simulation(seed + number, fault.table_delay_s)
        fault.before_commit(simulation)
        simulation.run_until(simulation.now_s + 2.0 + number)
        first_second = int(simulation.now_s) + 1
        change = simulation.commit("t", 2.0 + number)
        accepted_s = simulation.now_s
        fault.after_commit(simulation)
        reached = 0
        if fault is HEALED:
            accepted_s = simulation.now_s
            reached = simulation.count_serving(change.revision)
        result.reached_before += reached
        record_propagation(simulation, change.revision, accepted_s, result)
        simulation.run_until(max(simulation.now_s, first_second + 10.0))
        complete_seconds = range(first_second, int(simulation.now_s))
        reads = [simulation.reads_by_second[second] for second in complete_seconds]
        result.reads_per_s.append(statistics.mean(reads))
        result.peak_reads = max(result.peak_reads, *reads)
    return result


def record_propagation(
    simulation: SyncSimulation, revision: int, accepted_s: float, result: Propagation
) -> None:
    """Record when each process first serves under a revision."""
    waiting = list(simulation.processes)
    while waiting and simulation.now_s < accepted_s + TIMEOUT_S:
        remaining = []
        for process in waiting:
            if process.scheduler.view.announced_revision >= revision:
                result.seconds.append(simulation.now_s - accepted_s)
            else:
                remaining.append(process)
        waiting = remaining
        simulation.run_until(simulation.now_s + STEP_S)
    result.unreached += len(waiting)


def print_propagation(seed: int, changes: int, only: str) -> None:
    """Print a row for each fault whose name contains ``only``."""
    print(f"Spread over {ROUTERS + SIDECARS} processes, {changes} changes a row")
    print("| fault | median s | 99% s | worst s | not reached | reads/s | peak |")
    print("|---|---|---|---|---|---|---|")
    for fault in (*FAULTS, HEALED):
        if only not in fault.name:
            continue
        result = measure(fault, seed, changes)
        # Exclude processes that had the change before the partition healed.
        seconds = sorted(result.seconds)[result.reached_before :]
        print(
            f"| {fault.name} | {statistics.median(seconds):.2f} "
            f"| {seconds[int(len(seconds) * 0.99)]:.2f} | {seconds[-1]:.2f} "
            f"| {result.unreached} | {statistics.mean(result.reads_per_s):.0f} "
            f"| {result.peak_reads} |",
            flush=True,
        )


def print_reports(seed: int) -> None:
    """Print the number of reports caused by a change, in addition to periodic ones."""
    idle, changed = [], []
    for change in (False, True):
        simulation = new_simulation(seed, 0.01)
        simulation.run_until(SETTLE_S + 60.0)
        simulation.reports_by_second.clear()
        if change:
            simulation.commit("t", 9.0)
        simulation.run_until(simulation.now_s + 60.0)
        counts = [simulation.reports_by_second[s] for s in simulation.reports_by_second]
        (changed if change else idle).extend(counts)
    extra = sum(changed) - sum(idle)
    print(
        f"reports in 60 s: {sum(idle)} without a change, {sum(changed)} with one, "
        f"peak {max(changed)} a second"
    )
    per_s = sum(idle) / 60 + extra * CHANGES_PER_DAY / DAY_S
    print(f"at {CHANGES_PER_DAY} changes a day: {per_s:.1f} writes/s")


def print_restart(seed: int) -> None:
    """Print startup times and table reads when all processes restart at once."""
    for stored in (True, False):
        simulation = new_simulation(seed, 0.01)
        simulation.run_until(SETTLE_S + 70.0)
        if not stored:
            simulation.stored = None
        started_s = simulation.now_s
        simulation.full_loads = 0
        for process in simulation.processes:
            simulation.restart(process)
        propagation = Propagation()
        record_propagation(simulation, 1, started_s, propagation)
        peak = max(
            count
            for second, count in simulation.reads_by_second.items()
            if second >= int(started_s)
        )
        name = "with" if stored else "without"
        print(
            f"restart of all {name} the object store's copy: all serve after "
            f"{max(propagation.seconds):.2f} s, median "
            f"{statistics.median(propagation.seconds):.2f} s, peak {peak} reads/s, "
            f"{simulation.full_loads} load all from the table"
        )


class CountingProxy:
    """Forward TCP connections and count the bytes in both directions."""

    def __init__(self, port: int) -> None:
        self.bytes = 0
        self._upstream_address = ("127.0.0.1", port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            upstream = socket.create_connection(self._upstream_address)
            for sender, receiver in ((client, upstream), (upstream, client)):
                threading.Thread(
                    target=self._forward, args=(sender, receiver), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        while data := source.recv(65536):
            self.bytes += len(data)
            sink.sendall(data)


@define
class Cost:
    """Cost of one call to the daemon that makes it."""

    wire_bytes: float
    cpu_ms: float


def full_size_account(number: int = 0) -> Parameters:
    """Return the parameters of an account with its share of the budgets.

    Budget names are random: numbered names would compress to a twentieth of their
    size, which is unrealistic.
    """
    source = random.Random(number)
    count = BUDGETS // ACCOUNTS
    names = tuple(f"team-{source.getrandbits(32):08x}" for _ in range(count))
    return Parameters(budgets=names, models=("planner", "planner+badges"))


async def measure_calls(port: int, proxy: CountingProxy) -> dict[str, Cost]:
    """Measure each kind of table call that a daemon makes for its configuration."""
    credentials = Credentials("operator", "secret")
    direct = DynamoTable(f"http://127.0.0.1:{port}/table")
    table = DynamoTable(
        f"http://127.0.0.1:{proxy.port}/table",
        credentials=credentials,
        client_name="vm-0123-0123456789ab",
    )
    operation = Operation("op", "ana", time.time())
    await create_account(direct, operation, "lobby", parameters=full_size_account())
    observed_revisions = {f"vm-{number:04d}": 1 for number in range(16)}

    async def poll() -> None:
        assert isinstance(await load_changes(table, 1, timeout_s=2), Done)

    async def read_change() -> None:
        assert isinstance(await load_changes(table, 0, timeout_s=2), Done)

    async def report() -> None:
        adoption_report = AdoptionReport("vm-0123", 1, time.time(), observed_revisions)
        assert isinstance(await write_report(table, adoption_report, timeout_s=2), Done)

    costs = {}
    for name, call, count in (
        ("poll without a change", poll, 500),
        ("read of one change (account of 353 budgets)", read_change, 100),
        ("report of 17 daemons", report, 200),
    ):
        await call()
        bytes_before, cpu_before = proxy.bytes, time.thread_time()
        for _ in range(count):
            await call()
        cpu_s = time.thread_time() - cpu_before
        await anyio.sleep(0.05)
        costs[name] = Cost((proxy.bytes - bytes_before) / count, cpu_s / count * 1000)
    await direct.close()
    await table.close()
    return costs


def print_calls() -> None:
    """Print bytes and CPU time per call, and per second for each kind of daemon."""
    with start_blocking_portal() as portal:
        app = served(StandinPlatform(), lifespan=False)
        with portal.wrap_async_context_manager(app) as url:
            port = int(url.rpartition(":")[2])
            costs = anyio.run(measure_calls, port, CountingProxy(port))
    print("| call | bytes both ways | processor ms |")
    print("|---|---|---|")
    for name, cost in costs.items():
        print(f"| {name} | {cost.wire_bytes:.0f} | {cost.cpu_ms:.2f} |")
    poll, change, report = costs.values()
    change_hz = CHANGES_PER_DAY / DAY_S
    # A change causes two or three reports per router; see print_reports.
    report_hz = 1 / 60 + 3 * change_hz
    poll_s = SyncSettings().poll_s
    total = poll.wire_bytes / poll_s + change.wire_bytes * change_hz
    cpu = poll.cpu_ms / poll_s + change.cpu_ms * change_hz
    print(f"sidecar: {total:.0f} bytes/s, {cpu / 10:.3f}% of a core")
    total += report.wire_bytes * report_hz
    cpu += report.cpu_ms * report_hz
    print(f"router: {total:.0f} bytes/s, {cpu / 10:.3f}% of a core")
    daemons = ROUTERS + SIDECARS
    print(f"table: {daemons / poll_s:.0f} reads/s, {ROUTERS * report_hz:.1f} writes/s")


def full_documents() -> Documents:
    """Return a configuration of the target size."""
    documents: list[AccountDocument | TargetDocument | TemplateDocument] = [
        TemplateDocument(f"template-{number}", Parameters(weight=1.0 + number))
        for number in range(20)
    ]
    documents += [
        AccountDocument(
            f"account-{number:03d}",  # type: ignore[arg-type]
            f"template-{number % 20}",
            (f"{number:064x}",),
            True,
            full_size_account(number),
        )
        for number in range(ACCOUNTS)
    ]
    documents += [
        TargetDocument(
            TargetParameters(f"target-{number}", TargetKind.ENGINE)  # type: ignore
        )
        for number in range(SIDECARS)
    ]
    return Documents(1, {item.name: item for item in documents})  # type: ignore


def print_sizes() -> None:
    """Print the size of the configuration as a message and in memory."""
    documents = full_documents()
    body = encode_message(DocumentsMessage(documents))
    timings = {
        "pack": lambda: encode_message(DocumentsMessage(documents)),
        "unpack": lambda: parse_message(body),
        "resolve all": lambda: resolve(documents),
    }
    snapshot = resolve(documents)
    name = next(n for n in documents.by_name if n.name == "account-007")
    timings["resolve one account's change"] = lambda: resolve_changed(
        snapshot, documents, frozenset({name})
    )
    print(f"complete configuration: {len(body)} bytes packed")
    for what, call in timings.items():
        best = min(measure_cpu_s(call) for _ in range(5))
        print(f"{what}: {best * 1000:.1f} ms")
    tracemalloc.start()
    parsed = parse_message(body)
    assert isinstance(parsed, Done) and isinstance(parsed.value, DocumentsMessage)
    retained = (parsed.value.documents, resolve(parsed.value.documents))
    used, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {used / 1e6:.1f} MB retained, {peak / 1e6:.1f} MB at the peak")
    del retained
    change = ChangesMessage(0, ())  # type: ignore[arg-type]
    print(f"empty answer of a peer: {len(encode_message(change))} bytes")


def measure_cpu_s(call: Callable[[], object]) -> float:
    """Return the CPU time of a call in seconds."""
    start_s = time.process_time()
    call()
    return time.process_time() - start_s


def main() -> None:
    """Run all parts, or the part selected on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument(
        "--only", default="", help="only faults whose name contains this text"
    )
    parser.add_argument("--spread-only", action="store_true")
    parser.add_argument("--restart-only", action="store_true")
    parser.add_argument("--reports-only", action="store_true")
    options = parser.parse_args()
    if options.spread_only:
        print_propagation(options.seed, options.changes, options.only)
        return
    if options.reports_only:
        print_reports(options.seed)
        return
    if options.restart_only:
        print_restart(options.seed)
        return
    print_calls()
    print_sizes()
    print_reports(options.seed)
    print_restart(options.seed)
    print_propagation(options.seed, options.changes, options.only)


if __name__ == "__main__":
    main()
