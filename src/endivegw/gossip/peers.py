"""What a router knows about the other routers. Pure state."""

from __future__ import annotations

import zlib
from collections import OrderedDict

from attrs import define, evolve, field

from endivegw.allowances.holders import holders_of
from endivegw.allowances.witnesses import Statement
from endivegw.capacity import Headroom, ZoneRouter
from endivegw.decisions import NO_SENDS, LocalLoad, SendQuota, send_quota
from endivegw.gossip.messages import PeerState
from endivegw.gossip.peer_entry import PEERS_TABLE, PeerEntry
from endivegw.rendezvous import rendezvous_order
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    TargetName,
)

__all__ = ["PEERS_TABLE", "PeerEntry", "PeerTable"]

#: A router that has sent no report for this long, and for this many of its last
#: announced intervals, is unreachable or has terminated.
_RESPONSIVE_S = 1.0
_RESPONSIVE_INTERVALS = 2.5

#: Number of routers that check the row of an unresponsive one.
_ROW_CHECKERS = 2

#: Number of routers that keep each record, of which all but one may be lost.
_KEEPERS = 3

#: Number of routers that are asked what the fleet knows.
_ADVISERS = 3

#: Number of choices of keepers.
_KEEPER_GROUPS = 1024

#: Maximum number of routers asked for one loan.
_MAX_LENDERS = 12

_NO_LOAD = LocalLoad(0, 0)

_NO_STATEMENT = Statement(0, 0.0)

#: Maximum number of processes whose last statement of limits is retained. Each process
#: has up to three witnesses, so a router retains the statements of a few running
#: processes and of the last several dozen that died.
_MAX_STATEMENTS = 200


@define
class _Peer:
    entry: PeerEntry
    state: PeerState | None = None
    last_received_s: float | None = None

    @property
    def headroom(self) -> Headroom | None:
        """Return what the router last stated that it can carry."""
        return self.state.headroom if self.state is not None else None


@define
class PeerTable:
    """The other routers and their last reports.

    :ivar listed: whether all registered routers have been listed once.
    """

    own_vm: str
    own_zone: AvailabilityZone = AvailabilityZone("")
    listed: bool = False
    _peers: dict[str, _Peer] = field(factory=dict)
    #: The vms that hold each account's budget; cleared when a router joins or leaves.
    _holders: dict[ClientAccountName, frozenset[str]] = field(factory=dict)
    #: This router's quotas for warming targets; cleared like the holders.
    _quotas: dict[tuple[TargetName, float], SendQuota] = field(factory=dict)
    #: The order of routers that grant permits for a target; cleared like the holders.
    _coordinators: dict[TargetName, tuple[str, ...]] = field(factory=dict)
    #: The vms that keep records of streams, by the hash of their keys; cleared as well.
    _keepers: dict[int, tuple[str, ...]] = field(factory=dict)
    #: The last statement of each process. Statements of dead processes are retained,
    #: because their successors request them.
    _statements: OrderedDict[InstanceId, Statement] = field(factory=OrderedDict)

    def put(self, entry: PeerEntry) -> None:
        """Add or update a router from its row."""
        if entry.vm == self.own_vm:
            return
        known = self._peers.get(entry.vm)
        if known is None or known.entry != entry:
            self._peers[entry.vm] = _Peer(entry)
            self._forget_choices()

    def remove(self, vm: str) -> None:
        """Remove a router whose row was deleted."""
        self._peers.pop(vm, None)
        self._forget_choices()

    def _forget_choices(self) -> None:
        """Forget what was chosen among the routers known so far."""
        self._holders.clear()
        self._quotas.clear()
        self._coordinators.clear()
        self._keepers.clear()

    def receive_state(self, state: PeerState, now_s: float) -> None:
        """Apply a router's report, unless a later one is known."""
        for peer in self._peers.values():
            if peer.entry.instance_id != state.sender:
                continue
            if peer.state is None or state.sequence > peer.state.sequence:
                peer.state = state
                peer.last_received_s = now_s

    def update_surplus(
        self, sender: InstanceId, account: ClientAccountName, left_tokens: int
    ) -> None:
        """Update what a router has left of an account after it lent some.

        Its last report may be as old as the reporting interval. Until the next one, the
        lent tokens would count twice, at the lender and at the borrower: an exhausted
        account would seem to have tokens that cannot be reached now, and its callers
        would be asked to retry.
        """
        for peer in self._peers.values():
            if peer.entry.instance_id == sender and peer.state is not None:
                surplus = {**peer.state.surplus_tokens, account: left_tokens}
                peer.state = evolve(peer.state, surplus_tokens=surplus)

    def record_statement(
        self, sender: InstanceId, statement: Statement, waives: bool
    ) -> None:
        """Retain a router's statement of its limits, unless a later one is known.

        :param waives: whether this router waives with its acknowledgement.
        """
        last = self.last_statement(sender)
        waived_ms = last.waived_ms
        if waives:
            waived_ms = max(waived_ms, statement.clock_ms)
        if statement.sequence >= last.sequence:
            last = statement
            self._statements.pop(sender, None)
        self._statements[sender] = evolve(last, waived_ms=waived_ms)
        if len(self._statements) > _MAX_STATEMENTS:
            self._statements.popitem(last=False)

    def last_statement(self, instance_id: InstanceId) -> Statement:
        """Return a process's last statement, with sequence 0 if there is none."""
        return self._statements.get(instance_id, _NO_STATEMENT)

    def entries(self) -> list[PeerEntry]:
        """Return all known routers except this one."""
        return [peer.entry for peer in self._peers.values()]

    def live(self, now_s: float) -> list[PeerEntry]:
        """Return the routers that reported recently."""
        return [peer.entry for peer in self._responsive(now_s)]

    def unresponsive_vms(self, now_s: float) -> list[str]:
        """Return the vms of unresponsive routers whose rows this router checks.

        Two of the responsive routers check each row, so that one router's work does not
        grow with the fleet and one of the two may fail.
        """
        responsive = self._responsive_vms(now_s)
        return [
            vm
            for vm in self._peers
            if vm not in responsive
            and self.own_vm in rendezvous_order(vm, responsive)[:_ROW_CHECKERS]
        ]

    def all_responsive(self, now_s: float) -> bool:
        """Return whether every known router has reported recently."""
        return self.unresponsive_s(now_s) is None

    def unresponsive_s(self, now_s: float) -> float | None:
        """Return for how long the router that became unresponsive last has been so.

        None if every known router reported recently, 0 if one has never reported.
        """
        responsive = {peer.entry.vm for peer in self._responsive(now_s)}
        unresponsive_vms = [
            peer for vm, peer in self._peers.items() if vm not in responsive
        ]
        durations_s = (
            0.0 if peer.last_received_s is None else now_s - peer.last_received_s
            for peer in unresponsive_vms
        )
        return min(durations_s, default=None)

    def surplus_tokens(self, account: ClientAccountName, now_s: float) -> int:
        """Return the unused tokens of an account that the other routers reported."""
        states = [peer.state for peer in self._responsive(now_s) if peer.state]
        return sum(max(0, state.surplus_tokens.get(account, 0)) for state in states)

    def holders(self, account: ClientAccountName) -> frozenset[str]:
        """Return the vms of the routers that hold an account's budget."""
        known = self._holders.get(account)
        if known is None:
            zones = {
                vm: peer.entry.availability_zone for vm, peer in self._peers.items()
            }
            known = holders_of(account, {**zones, self.own_vm: self.own_zone})
            self._holders[account] = known
        return known

    def is_holder(self, instance_id: InstanceId, account: ClientAccountName) -> bool:
        """Return whether a router's process holds an account's budget."""
        holders = self.holders(account)
        peers = (self._peers[vm] for vm in holders if vm in self._peers)
        return any(peer.entry.instance_id == instance_id for peer in peers)

    def is_collector(self, account: ClientAccountName, now_s: float) -> bool:
        """Return whether this router collects an account's leftover tokens.

        The first of the responsive holders does.
        """
        holders = self.holders(account)
        responsive = {peer.entry.vm for peer in self._responsive(now_s)}
        return self.own_vm == min((holders & responsive) | (holders & {self.own_vm}))

    def send_quota(self, target: TargetName, rate_per_s: float) -> SendQuota:
        """Return this router's quota for a target that is warming up.

        Registered routers count whether they respond or not: routers agree on their
        list, but not on which of them respond. None are known before the first list.
        """
        if not self.listed:
            return NO_SENDS
        known = self._quotas.get((target, rate_per_s))
        if known is None:
            vms = {*self._peers, self.own_vm}
            known = send_quota(target, rate_per_s, self.own_vm, vms)
            self._quotas[(target, rate_per_s)] = known
        return known

    def coordinator(self, target: TargetName, now_s: float) -> PeerEntry | None:
        """Return the router that grants permits for a target; None for this one."""
        order = self._coordinators.get(target)
        if order is None:
            order = rendezvous_order(target, {*self._peers, self.own_vm})
            self._coordinators[target] = order
        responsive = {peer.entry.vm: peer.entry for peer in self._responsive(now_s)}
        for vm in order:
            if vm == self.own_vm or vm in responsive:
                return responsive.get(vm)
        return None

    def keepers(self, key: str) -> list[PeerEntry]:
        """Return the other routers that keep records under a key.

        Registered routers count whether they respond or not, as routers agree on their
        list. Keys share a limited number of choices, so that a choice among hundreds
        of routers is not made for each stream.
        """
        group = zlib.crc32(key.encode()) % _KEEPER_GROUPS
        vms = self._keepers.get(group)
        if vms is None:
            order = rendezvous_order(f"records-{group}", {*self._peers, self.own_vm})
            vms = self._keepers[group] = order[:_KEEPERS]
        return [self._peers[vm].entry for vm in vms if vm in self._peers]

    def advisers(self, key: str, now_s: float) -> list[PeerEntry]:
        """Return a few routers to ask what the fleet knows, of several zones.

        Routers of other zones are less likely to be cut off together with this one.
        Those that respond and reach the store come first.
        """
        responsive = self._responsive_vms(now_s)

        def rank(vm: str) -> tuple[bool, bool]:
            state = self._peers[vm].state
            return vm not in responsive, state is None or not state.reaches_store

        order = sorted(rendezvous_order(key, self._peers), key=rank)
        zones = {self.own_zone}
        spread: list[str] = []
        for vm in order:
            zone = self._peers[vm].entry.availability_zone
            if zone not in zones and vm in responsive:
                zones.add(zone)
                spread.append(vm)
        chosen = [*spread, *(vm for vm in order if vm not in spread)]
        return [self._peers[vm].entry for vm in chosen[:_ADVISERS]]

    def is_writer(self, key: str, now_s: float) -> bool:
        """Return whether this router is among the few that write a row for all."""
        responsive = self._responsive_vms(now_s)
        return self.own_vm in rendezvous_order(key, responsive)[:_ROW_CHECKERS]

    def zone_routers(self, now_s: float) -> list[ZoneRouter]:
        """Return the other registered routers of this router's availability zone."""
        responsive = self._responsive_vms(now_s)
        return [
            ZoneRouter(vm, peer.headroom, vm in responsive)
            for vm, peer in self._peers.items()
            if peer.entry.availability_zone == self.own_zone
        ]

    def store_relays(self, now_s: float) -> list[str]:
        """Return the addresses of routers that state that they reach the store.

        Only those of the own availability zone, if there are any.
        """
        reaching = [
            peer.entry
            for peer in self._responsive(now_s)
            if peer.state is not None and peer.state.reaches_store
        ]
        near = [entry for entry in reaching if entry.availability_zone == self.own_zone]
        return [f"{entry.host}:{entry.port}" for entry in near or reaching]

    def routers(self) -> int:
        """Return the number of registered routers, including this one."""
        return len(self._peers) + 1

    def reachable_share(self, now_s: float) -> float:
        """Return the share of registered routers that respond; 0 if none are known."""
        if not self.listed:
            return 0.0
        return (len(self._responsive(now_s)) + 1) / self.routers()

    def leftovers(
        self, account: ClientAccountName, now_s: float
    ) -> list[tuple[PeerEntry, int]]:
        """Return the routers that have tokens of an account but do not hold it."""
        holders = self.holders(account)
        return [
            (peer.entry, _surplus_of(peer, account))
            for peer in self._responsive(now_s)
            if peer.entry.vm not in holders and _surplus_of(peer, account) > 0
        ]

    def lenders(self, account: ClientAccountName, now_s: float) -> list[PeerEntry]:
        """Return the routers to ask for tokens, in order.

        Routers with a surplus come first; among them the holders of the account's
        budget, then those with the largest surplus. A holder that has never reported
        may have just started and is included.
        """
        holders = self.holders(account)

        def sort_key(peer: _Peer) -> tuple[bool, bool, int]:
            surplus = _surplus_of(peer, account)
            return surplus <= 0, peer.entry.vm not in holders, -surplus

        holder_peers = [self._peers[vm] for vm in holders if vm in self._peers]
        candidates = self._responsive(now_s) + [
            peer for peer in holder_peers if peer.last_received_s is None
        ]
        return [peer.entry for peer in sorted(candidates, key=sort_key)[:_MAX_LENDERS]]

    def portions(
        self, account: ClientAccountName, tokens: int, now_s: float
    ) -> list[tuple[PeerEntry, int]]:
        """Return the routers to ask concurrently, with the tokens to ask of each.

        A long prompt in a large fleet may need more than one router holds: each of
        thirty routers holds a thirtieth of a budget, and the prompt needs what ten of
        them hold. Asked one after the other, they would answer later than the prompt
        can wait.

        :returns: a single router if it has enough by its last report.
        """
        selected = []
        missing_tokens = tokens
        for entry in self.lenders(account, now_s):
            surplus = _surplus_of(self._peers[entry.vm], account)
            if missing_tokens <= 0 or surplus <= 0:
                break
            portion = min(missing_tokens, surplus)
            selected.append((entry, portion))
            missing_tokens -= portion
        return selected

    def load(self, now_s: float) -> dict[TargetName, LocalLoad]:
        """Return the total load of the other routers at each target."""
        totals: dict[TargetName, LocalLoad] = {}
        for peer in self._responsive(now_s):
            if peer.state is None:
                continue
            for target, load in peer.state.load.items():
                known = totals.get(target, _NO_LOAD)
                totals[target] = LocalLoad(
                    known.running + load.running,
                    known.unread_tokens + load.unread_tokens,
                )
        return totals

    def _responsive_vms(self, now_s: float) -> set[str]:
        """Return the vms of the routers that reported recently, with this one's."""
        return {peer.entry.vm for peer in self._responsive(now_s)} | {self.own_vm}

    def _responsive(self, now_s: float) -> list[_Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.last_received_s is not None
            and now_s - peer.last_received_s <= _responsive_for_s(peer)
        ]


def _responsive_for_s(peer: _Peer) -> float:
    """Return how long a router's last report counts."""
    interval_s = peer.state.interval_s if peer.state is not None else 0.0
    return max(_RESPONSIVE_S, _RESPONSIVE_INTERVALS * interval_s)


def _surplus_of(peer: _Peer, account: ClientAccountName) -> int:
    return peer.state.surplus_tokens.get(account, 0) if peer.state is not None else 0
