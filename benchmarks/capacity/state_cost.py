"""Memory use of state, with the production classes at several sizes."""

from __future__ import annotations

import gc
import random
import tracemalloc
from typing import Any, Callable

from benchmarks.capacity.fitting import Fit, Point, fit_line

from endivegw.budgets import GrantLedger
from endivegw.budgets.sizing import DemandSize
from endivegw.budgets.wallet import BudgetWallet, GrantChange
from endivegw.configuration import TargetKind, TargetParameters
from endivegw.configuration.codec import DocumentsMessage, encode_message
from endivegw.configuration.documents import (
    AccountDocument,
    Documents,
    TargetDocument,
    resolve,
)
from endivegw.configuration.parameters import Parameters
from endivegw.decisions import Dispatcher, LoadFigures, Policy, TargetView
from endivegw.membership import (
    Heartbeat,
    MembershipPolicy,
    MembershipView,
)
from endivegw.peers.call_auth import NonceCache
from endivegw.requests.buffer import AnswerBuffer
from endivegw.services import ListedVm, VmState
from endivegw.targets import EngineLoad
from endivegw.types import (
    AttemptId,
    AvailabilityZone,
    BudgetKey,
    ClientAccountName,
    ConfigRevision,
    GrantId,
    InstanceId,
    TargetName,
)

__all__ = ["measure_state"]

_BUDGETS_PER_ACCOUNT = 354
_MODELS = ("badge-1", "plan-1", "talk-1")
_ZONES = tuple(AvailabilityZone(f"zone-{number}") for number in range(7))


def measure_state() -> dict[str, Fit]:
    """Fit bytes over the number of entries for each kind of state."""
    return {
        "account with 354 budgets, held": _fit_memory(_documents, (70, 140, 280)),
        "target in the configuration, held": _fit_memory(_targets, (160, 325, 650)),
        "account with 354 budgets, as sent": _fit_message_size(
            _documents, (70, 140, 280)
        ),
        "target in the configuration, as sent": _fit_message_size(
            _targets, (160, 325, 650)
        ),
        "peer in the membership view": _fit_memory(_view, (100, 300, 1020)),
        "target in the dispatcher": _fit_memory(_dispatcher, (12, 48, 192)),
        "budget with one grant in a router": _fit_memory(_wallets, (1000, 4000, 16000)),
        "grant in a sidecar's ledger": _fit_memory(_ledger, (1000, 4000, 16000)),
        "answer of 205 tokens in a buffer": _fit_memory(_buffers, (100, 400, 1600)),
        "call in the memory of nonces": _fit_memory(_nonces, (1000, 4000, 16000)),
    }


def _fit_memory(build: Callable[[int], Any], sizes: tuple[int, ...]) -> Fit:
    return fit_line([Point(size, _allocated_bytes(build, size)) for size in sizes])


def _fit_message_size(build: Callable[[int], Any], sizes: tuple[int, ...]) -> Fit:
    points = []
    for size in sizes:
        documents, _ = build(size)
        message = encode_message(DocumentsMessage(documents))
        points.append(Point(size, len(message)))
    return fit_line(points)


def _allocated_bytes(build: Callable[[int], Any], size: int) -> int:
    gc.collect()
    tracemalloc.start()
    state = build(size)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state is not None
    return held


def _documents(size: int) -> Any:
    rng = random.Random(1)
    documents = [
        AccountDocument(
            ClientAccountName(f"account-{number:04d}"),
            parameters=Parameters(
                budgets=tuple(
                    f"tenant-{number:04d}-{budget:04d}"
                    for budget in range(_BUDGETS_PER_ACCOUNT)
                ),
                models=_MODELS,
            ),
            key_hashes=(f"{rng.getrandbits(256):064x}",),
        )
        for number in range(size)
    ]
    return _held(documents)


def _targets(size: int) -> Any:
    documents = [
        TargetDocument(
            TargetParameters(
                TargetName(f"engine-{number:04d}"),
                TargetKind.ENGINE,
                _ZONES[number % len(_ZONES)],
                serves=(_MODELS[number % len(_MODELS)],),
                version="7",
            )
        )
        for number in range(size)
    ]
    return _held(documents)


def _held(documents: list[Any]) -> Any:
    by_name = {document.name: document for document in documents}
    held = Documents(ConfigRevision(1), by_name)
    return held, resolve(held)


def _vm(number: int) -> ListedVm:
    address = f"10.0.{number // 250}.{number % 250}"
    zone = _ZONES[number % len(_ZONES)]
    return ListedVm(f"vm-{number:05d}", address, zone, "target", VmState.LIVE)


def _view(size: int) -> Any:
    view = MembershipView(MembershipPolicy())
    vms = [_vm(number) for number in range(size)]
    view.on_vm_list(vms, 0.0)
    for number, vm in enumerate(vms):
        view.on_heartbeat(vm.vm, _heartbeat(number), sent_s=0.5, now_s=1.0)
    return view


def _heartbeat(number: int) -> Heartbeat:
    models = (f"{_MODELS[number % 3]}", f"{_MODELS[number % 3]}@7")
    return Heartbeat(
        InstanceId(f"vm-{number:05d}-0123456789ab"),
        _ZONES[number % len(_ZONES)],
        ConfigRevision(1),
        load=EngineLoad(10, 2, 64, 1300.0, models, 0.5),
        target=TargetName(f"engine-{number:04d}"),
        start_incarnation=f"{number:032x}",
    )


def _dispatcher(size: int) -> Any:
    dispatcher = Dispatcher(Policy(), _ZONES[0], random.Random(1))
    views = [
        TargetView(
            TargetName(f"engine-{number:04d}"),
            InstanceId(f"vm-{number:05d}-0123456789ab"),
            f"10.0.{number // 250}.{number % 250}",
            _ZONES[number % len(_ZONES)],
            frozenset((_MODELS[number % 3], f"{_MODELS[number % 3]}@7")),
            64,
        )
        for number in range(size)
    ]
    dispatcher.set_targets(views, 0.0)
    for view in views:
        figures = LoadFigures(10, 2, 64, 1300.0, 0.5, tuple(view.models))
        dispatcher.report(view.target, figures, 1.0)
    return dispatcher, views


def _wallets(size: int) -> Any:
    wallets = {}
    for number in range(size):
        budget = _budget(number)
        wallet = BudgetWallet(budget)
        grant = GrantId(f"router-0123-0123456789ab.{number}")
        wallet.apply_commit(GrantChange(grant, budget, True, draw_tokens=9000), 1.0)
        wallets[budget] = wallet
    return wallets, DemandSize()


def _ledger(size: int) -> Any:
    ledger = GrantLedger()
    for number in range(size):
        grant = GrantId(f"router-0123-0123456789ab.{number}")
        attempt = AttemptId(f"{number:024x}")
        ledger.admit(grant, _budget(number), attempt, 500, 1.0)
    return ledger


def _budget(number: int) -> BudgetKey:
    account = ClientAccountName(f"account-{number // _BUDGETS_PER_ACCOUNT:04d}")
    return BudgetKey(account, f"tenant-{number:06d}")


def _buffers(size: int) -> Any:
    buffers = []
    for _ in range(size):
        buffer = AnswerBuffer(256 * 1024)
        for _ in range(205):
            buffer.append(bytes(bytearray(180)))
        buffers.append(buffer)
    return buffers


def _nonces(size: int) -> Any:
    nonces = NonceCache()
    for number in range(size):
        nonces.accept(f"{number:024x}", 1.0)
    return nonces
