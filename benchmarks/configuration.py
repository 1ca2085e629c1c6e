"""How fast a change of configuration is everywhere, and what that costs.

Spread is measured in virtual time over 1,020 views and schedules of the
product, with heartbeats as often as membership sends them. Bytes and
processor time are measured over a loopback connection to the stand-in table.
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
CHANGES_A_DAY = 1000
DAY_S = 86_400

#: Virtual seconds in which every process starts and settles.
SETTLE_S = 20.0

#: After this a process counts as not reached.
LONGEST_S = 60.0

#: How finely the spread is looked at.
STEP_S = 0.02


@frozen
class Fault:
    """Name a fault and say how it is brought about at the change.

    :param begin: called when the change has just been accepted.
    :param before: called in time before the change.
    """

    name: str
    begin: Callable[[SyncSimulation], None] = lambda world: None
    before: Callable[[SyncSimulation], None] = lambda world: None
    table_delay_s: float = 0.01


@define
class Spreading:
    """Hold the measured seconds until each process served under a change."""

    seconds: list[float] = field(factory=list)
    unreached: int = 0
    reached_before: int = 0
    reads_per_s: list[float] = field(factory=list)
    peak_reads: int = 0


def new_world(seed: int, table_delay_s: float) -> SyncSimulation:
    """Return a settled fleet of the target size."""
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
    world = SyncSimulation(settings, random.Random(seed))
    world.commit("t", 1.0)
    world.run_until(SETTLE_S)
    return world


def zone_of(index: int) -> int:
    """Return a process's zone; the stores (-1) are in none."""
    return index % ZONES if index >= 0 else -1


def cut_zone_from_stores(world: SyncSimulation) -> None:
    """Cut one zone off from table and object store, not from its peers."""
    world.partitioned = lambda one, other: -1 in (one, other) and 0 in (
        zone_of(one),
        zone_of(other),
    )


def only_one_reader(world: SyncSimulation) -> None:
    """Leave the table to one router; all others have only their peers."""
    world.partitioned = lambda one, other: -1 in (one, other) and max(one, other) != 0


def one_way_zone(world: SyncSimulation) -> None:
    """Lose what one zone sends to the stores and to all zones but one."""
    world.partitioned = lambda one, other: zone_of(one) == 0 and zone_of(other) not in (
        0,
        6,
    )


def lossy(world: SyncSimulation) -> None:
    """Lose a tenth of the messages between processes, double another tenth."""
    world.loss = 0.1
    world.duplication = 0.1
    world.extra_delay_s = 0.2


def no_peers(world: SyncSimulation) -> None:
    """Let no process hear another."""
    world.partitioned = lambda one, other: one >= 0 and other >= 0


def peers_only(world: SyncSimulation) -> None:
    """Take the table away 50 ms after the change was accepted."""
    world.run_until(world.now_s + 0.05)
    world.table_up = False
    world.objects_up = False


def region_cut(world: SyncSimulation) -> None:
    """Cut three zones off from the others and the stores, until it heals."""
    far = (4, 5, 6)
    world.partitioned = lambda one, other: (zone_of(one) in far) != (
        zone_of(other) in far
    )
    world.run_until(world.now_s + 30.0)
    world.partitioned = lambda one, other: False


FAULTS = (
    Fault("none"),
    Fault("table answers after 1.5 s", table_delay_s=1.5),
    Fault("no process hears another", before=no_peers),
    Fault("10% of peers' messages lost, 10% doubled", before=lossy),
    Fault("one zone cut off from the table", before=cut_zone_from_stores),
    Fault("one zone sends to one other zone only", before=one_way_zone),
    Fault("one router alone reaches the table", before=only_one_reader),
    Fault("table and objects away 50 ms after the change", begin=peers_only),
)

#: Cases in which no path exists for a while; seconds count from its return.
HEALED = Fault("region cut off for 30 s, from its return on", begin=region_cut)


def measure(fault: Fault, seed: int, changes: int) -> Spreading:
    """Commit changes under a fault and time them at every process."""
    result = Spreading()
    for number in range(changes):
        world = new_world(seed + number, fault.table_delay_s)
        fault.before(world)
        world.run_until(world.now_s + 2.0 + number)
        first_second = int(world.now_s) + 1
        change = world.commit("t", 2.0 + number)
        accepted_s = world.now_s
        fault.begin(world)
        reached = 0
        if fault is HEALED:
            accepted_s = world.now_s
            reached = world.count_serving(change.revision)
        result.reached_before += reached
        follow(world, change.revision, accepted_s, result)
        world.run_until(max(world.now_s, first_second + 10.0))
        whole = range(first_second, int(world.now_s))
        reads = [world.reads_by_second[second] for second in whole]
        result.reads_per_s.append(statistics.mean(reads))
        result.peak_reads = max(result.peak_reads, *reads)
    return result


def follow(
    world: SyncSimulation, revision: int, accepted_s: float, result: Spreading
) -> None:
    """Note when each process begins to serve under a revision."""
    waiting = list(world.processes)
    while waiting and world.now_s < accepted_s + LONGEST_S:
        still = []
        for process in waiting:
            if process.scheduler.view.announced_revision >= revision:
                result.seconds.append(world.now_s - accepted_s)
            else:
                still.append(process)
        waiting = still
        world.run_until(world.now_s + STEP_S)
    result.unreached += len(waiting)


def print_spread(seed: int, changes: int, only: str) -> None:
    """Print a row for each fault whose name holds ``only``."""
    print(f"Spread over {ROUTERS + SIDECARS} processes, {changes} changes a row")
    print("| fault | median s | 99% s | worst s | not reached | reads/s | peak |")
    print("|---|---|---|---|---|---|---|")
    for fault in (*FAULTS, HEALED):
        if only not in fault.name:
            continue
        found = measure(fault, seed, changes)
        # Processes that had the change when a cut healed are not counted.
        seconds = sorted(found.seconds)[found.reached_before :]
        print(
            f"| {fault.name} | {statistics.median(seconds):.2f} "
            f"| {seconds[int(len(seconds) * 0.99)]:.2f} | {seconds[-1]:.2f} "
            f"| {found.unreached} | {statistics.mean(found.reads_per_s):.0f} "
            f"| {found.peak_reads} |",
            flush=True,
        )


def print_reports(seed: int) -> None:
    """Print how many reports one change makes, beyond those of each minute."""
    idle, changed = [], []
    for change in (False, True):
        world = new_world(seed, 0.01)
        world.run_until(SETTLE_S + 60.0)
        world.reports_by_second.clear()
        if change:
            world.commit("t", 9.0)
        world.run_until(world.now_s + 60.0)
        counts = [world.reports_by_second[s] for s in world.reports_by_second]
        (changed if change else idle).extend(counts)
    extra = sum(changed) - sum(idle)
    print(
        f"reports in 60 s: {sum(idle)} without a change, {sum(changed)} with one, "
        f"peak {max(changed)} a second"
    )
    per_s = sum(idle) / 60 + extra * CHANGES_A_DAY / DAY_S
    print(f"at {CHANGES_A_DAY} changes a day: {per_s:.1f} writes/s")


def print_restart(seed: int) -> None:
    """Print what a restart of all processes at once does."""
    for stored in (True, False):
        world = new_world(seed, 0.01)
        world.run_until(SETTLE_S + 70.0)
        if not stored:
            world.stored = None
        begin_s = world.now_s
        world.full_loads = 0
        for process in world.processes:
            world.restart(process)
        seconds = Spreading()
        follow(world, 1, begin_s, seconds)
        peak = max(
            count
            for second, count in world.reads_by_second.items()
            if second >= int(begin_s)
        )
        name = "with" if stored else "without"
        print(
            f"restart of all {name} the object store's copy: all serve after "
            f"{max(seconds.seconds):.2f} s, median "
            f"{statistics.median(seconds.seconds):.2f} s, peak {peak} reads/s, "
            f"{world.full_loads} load all from the table"
        )


class Relay:
    """Forward one TCP connection at a time and count the bytes both ways."""

    def __init__(self, port: int) -> None:
        self.bytes = 0
        self._target = ("127.0.0.1", port)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(self._target)
            for one, other in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(one, other), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        while data := source.recv(65536):
            self.bytes += len(data)
            sink.sendall(data)


@define
class Cost:
    """Hold what one call costs its daemon."""

    wire_bytes: float
    cpu_ms: float


def full_size_account(number: int = 0) -> Parameters:
    """Return an account's parameters with its share of the budgets.

    The names are random, since real ones repeat less than counted ones and a
    message of counted names would be packed to a twentieth.
    """
    source = random.Random(number)
    count = BUDGETS // ACCOUNTS
    names = tuple(f"team-{source.getrandbits(32):08x}" for _ in range(count))
    return Parameters(budgets=names, models=("planner", "planner+badges"))


async def measure_calls(port: int, relay: Relay) -> dict[str, Cost]:
    """Return the cost of each call that a daemon makes for its configuration."""
    credentials = Credentials("operator", "secret")
    direct = DynamoTable(f"http://127.0.0.1:{port}/table")
    table = DynamoTable(
        f"http://127.0.0.1:{relay.port}/table",
        credentials=credentials,
        client_name="vm-0123-0123456789ab",
    )
    operation = Operation("op", "ana", time.time())
    await create_account(direct, operation, "lobby", parameters=full_size_account())
    heard = {f"vm-{number:04d}": 1 for number in range(16)}

    async def poll() -> None:
        assert isinstance(await load_changes(table, 1, timeout_s=2), Done)

    async def read_change() -> None:
        assert isinstance(await load_changes(table, 0, timeout_s=2), Done)

    async def report() -> None:
        said = AdoptionReport("vm-0123", 1, time.time(), heard)
        assert isinstance(await write_report(table, said, timeout_s=2), Done)

    costs = {}
    for name, call, count in (
        ("poll without a change", poll, 500),
        ("read of one change (account of 353 budgets)", read_change, 100),
        ("report of 17 daemons", report, 200),
    ):
        await call()
        bytes_before, cpu_before = relay.bytes, time.thread_time()
        for _ in range(count):
            await call()
        cpu_s = time.thread_time() - cpu_before
        await anyio.sleep(0.05)
        costs[name] = Cost((relay.bytes - bytes_before) / count, cpu_s / count * 1000)
    await direct.close()
    await table.close()
    return costs


def print_calls() -> None:
    """Print bytes and processor time of each call, and of a daemon a second."""
    with start_blocking_portal() as portal:
        app = served(StandinPlatform(), lifespan=False)
        with portal.wrap_async_context_manager(app) as url:
            port = int(url.rpartition(":")[2])
            costs = anyio.run(measure_calls, port, Relay(port))
    print("| call | bytes both ways | processor ms |")
    print("|---|---|---|")
    for name, cost in costs.items():
        print(f"| {name} | {cost.wire_bytes:.0f} | {cost.cpu_ms:.2f} |")
    poll, change, report = costs.values()
    change_hz = CHANGES_A_DAY / DAY_S
    # A change costs a router two reports or three; see print_reports.
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
    """Print what the configuration weighs in a message and in memory."""
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
    print(f"whole configuration: {len(body)} bytes packed")
    for what, call in timings.items():
        best = min(timed(call) for _ in range(5))
        print(f"{what}: {best * 1000:.1f} ms")
    tracemalloc.start()
    parsed = parse_message(body)
    assert isinstance(parsed, Done) and isinstance(parsed.value, DocumentsMessage)
    kept = (parsed.value.documents, resolve(parsed.value.documents))
    used, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: {used / 1e6:.1f} MB kept, {peak / 1e6:.1f} MB at the peak")
    del kept
    change = ChangesMessage(0, ())  # type: ignore[arg-type]
    print(f"empty answer of a peer: {len(encode_message(change))} bytes")


def timed(call: Callable[[], object]) -> float:
    """Return the processor seconds of a call."""
    start_s = time.process_time()
    call()
    return time.process_time() - start_s


def main() -> None:
    """Run all parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument("--only", default="", help="only faults of such a name")
    parser.add_argument("--spread-only", action="store_true")
    parser.add_argument("--restart-only", action="store_true")
    parser.add_argument("--reports-only", action="store_true")
    options = parser.parse_args()
    if options.spread_only:
        print_spread(options.seed, options.changes, options.only)
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
    print_spread(options.seed, options.changes, options.only)


if __name__ == "__main__":
    main()
