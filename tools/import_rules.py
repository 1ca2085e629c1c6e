"""Check that modules of the package import only what their layer allows.

Pure modules (decisions, budgets, requests, ...) must be testable without sockets,
so they must not import networking libraries or packages that do I/O.
"""

from __future__ import annotations

import ast
import pathlib
import sys

ROOT = pathlib.Path("src/endivegw")

#: Packages of pure logic, which must not access the network, files or clocks.
PURE_PACKAGES = ("capacity", "decisions", "requests", "routing")

#: Pure modules inside packages that also do I/O, as paths relative to ROOT.
PURE_MODULES: tuple[str, ...] = (
    "membership/peer_states.py",
    "membership/peer.py",
    "membership/policy.py",
    "membership/subset.py",
    "membership/view.py",
    "peers/call_auth.py",
    "targets/order_rows.py",
    "targets/orders.py",
    "targets/rolling.py",
    "targets/weight_slots.py",
    "allowances/ledger.py",
    "allowances/expected.py",
    "allowances/holders.py",
    "allowances/funds.py",
    "allowances/options.py",
    "allowances/reservation.py",
    "allowances/rows.py",
    "allowances/store_clock.py",
    "allowances/witness_reports.py",
    "allowances/witnesses.py",
    "gossip/message_types.py",
    "gossip/messages.py",
    "quarantine/evidence.py",
    "quarantine/fingerprint.py",
    "quarantine/ledger.py",
    "quarantine/lost_sends.py",
    "quarantine/rows.py",
    "quarantine/trials.py",
    "streams/history.py",
    "streams/records.py",
    "streams/rows.py",
    "streams/version_poll.py",
    "documents.py",
    "gossip/peers.py",
    "relay/admission.py",
    "relay/answers.py",
    "relay/events.py",
    "relay/messages.py",
    "relay/wire.py",
    "budgets/batch.py",
    "budgets/bills.py",
    "budgets/bound.py",
    "budgets/checkpoint.py",
    "budgets/collecting.py",
    "budgets/demand.py",
    "budgets/ledger.py",
    "budgets/options.py",
    "budgets/pace.py",
    "budgets/planning.py",
    "budgets/recovery_writes.py",
    "budgets/demand.py",
    "budgets/ledger.py",
    "budgets/pace.py",
    "budgets/planning.py",
    "budgets/rows.py",
    "budgets/sizing.py",
    "budgets/transfer.py",
    "budgets/wallet.py",
    "configuration/codec.py",
    "configuration/documents.py",
    "configuration/ini.py",
    "configuration/model.py",
    "configuration/parameters.py",
    "configuration/spread.py",
    "configuration/spread_actions.py",
    "configuration/spread_settings.py",
    "configuration/view.py",
    "services/circuit.py",
    "services/rate_cap.py",
)

#: Modules that a pure module must not import.
IO_MODULES = frozenset(
    {
        "anyio",
        "asyncio",
        "grpclib",
        "h11",
        "httpcore",
        "logbook",
        "os",
        "select",
        "socket",
        "ssl",
        "statsd",
        "threading",
        "time",
        "uvicorn",
    }
)

#: Packages that do I/O, which a pure module must not import either.
IO_PARTS = frozenset(
    {
        "endivegw.cli",
        "endivegw.commands",
        "endivegw.composition",
        "endivegw.daemons",
        "endivegw.peers",
        "endivegw.queries",
        "endivegw.telemetry",
    }
)


#: Header fields and field names of rows and calls of the deployment platform. Only the
#: platform adapter may contain them, so that the other packages do not depend on it.
PLATFORM_NAMES = (
    "endivegw-attempt-id",
    "endivegw-deadline-ms",
    "endivegw-expect-",
    "endivegw-length-hint",
    "endivegw-not-executed",
    "endivegw-prompt-prefix",
    "endivegw-request-priority",
    "endivegw-response-seal",
    "endivegw-tenant",
    "endivegw-token-counts",
    "kv-from",
    "kv-fetch",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "ResourceVersion",
    "ExpectedRevision",
    "MorePages",
    "Tombstone",
    "TrafficSplit",
    "TargetLatencyMs",
    "GapTargetMs",
    "MaxAttempts",
    "ApiKeys",
    'Prepaid"',
    "KvCapacityTokens",
    "ColdRemainingMs",
)

#: Folder of the platform adapter, relative to ROOT.
ADAPTER = "platform/"


def platform_names_in(path: pathlib.Path) -> list[str]:
    """Return the platform names that occur in the text of a module."""
    text = path.read_text()
    return [name for name in PLATFORM_NAMES if name in text]


def imported_names(path: pathlib.Path) -> set[str]:
    """Return the dotted names of the modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


def starts_with_any(name: str, prefixes: frozenset[str]) -> bool:
    """Return whether a dotted name is one of the prefixes or a submodule of one."""
    return any(name == prefix or name.startswith(prefix + ".") for prefix in prefixes)


def violations() -> list[str]:
    """Return one line for each import or platform name that breaks a rule."""
    messages: list[str] = []
    for path in sorted(ROOT.rglob("*.py")):
        relative = path.relative_to(ROOT).as_posix()
        if not relative.startswith(ADAPTER):
            for name in platform_names_in(path):
                messages.append(f"{relative}: contains the platform name {name!r}")
        names = imported_names(path)
        pure = relative.startswith(tuple(p + "/" for p in PURE_PACKAGES))
        if pure or relative in PURE_MODULES:
            for name in sorted(names):
                if starts_with_any(name, IO_MODULES | IO_PARTS):
                    messages.append(f"{relative}: pure code imports {name}")
        for name in sorted(names):
            standin = name.startswith("endivegw_standins")
            if standin and not relative.startswith("dev/"):
                messages.append(f"{relative}: product code imports {name}")
    return messages


def main() -> int:
    """Print the violations and return 1 if there are any, else 0."""
    lines = violations()
    for line in lines:
        print(line)
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
