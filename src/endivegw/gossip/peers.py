"""What a router knows of the other routers. Pure state."""

from __future__ import annotations

import json
from collections import OrderedDict

from attrs import define, evolve, field, frozen

from endivegw.allowances.holders import holders_of
from endivegw.allowances.witnesses import Statement
from endivegw.decisions import LocalLoad
from endivegw.gossip.messages import PeerState
from endivegw.rendezvous import rendezvous_order
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    TargetName,
)

__all__ = ["PEERS_TABLE", "PeerEntry", "PeerTable"]

#: One row for each router, by vm.
PEERS_TABLE = "router-addresses"

#: A router that said nothing for this long, and for this many of the intervals that
#: it stated last, is not reached or is gone.
_HEARD_S = 1.0
_HEARD_INTERVALS = 2.5

#: Routers that look after the row of one that is silent.
_HEIRS = 2

#: Routers that are asked for one loan at the most, one after the other.
_MOST_LENDERS = 12

_NO_LOAD = LocalLoad(0, 0)

_NOTHING_HEARD = Statement(0, 0.0)

#: Processes whose last statement of limits is kept. Each has up to three witnesses,
#: so that a router keeps a few of living ones and those of the last dozens that died.
_MOST_STATEMENTS = 200


@frozen
class PeerEntry:
    """Hold a router's address, as it registered itself."""

    vm: str
    instance_id: InstanceId
    host: str
    port: int
    availability_zone: AvailabilityZone = AvailabilityZone("")

    def encode(self) -> bytes:
        """Return the value of its row."""
        document = {
            "instance": self.instance_id,
            "host": self.host,
            "port": self.port,
            "availability_zone": self.availability_zone,
        }
        return json.dumps(document).encode()

    @classmethod
    def decode(cls, vm: str, value: bytes) -> PeerEntry:
        """Read a row; :exc:`ValueError` where it is not one."""
        try:
            document = json.loads(value)
            instance_id = InstanceId(str(document["instance"]))
            zone = AvailabilityZone(str(document.get("availability_zone", "")))
            host, port = str(document["host"]), int(document["port"])
            return cls(vm, instance_id, host, port, zone)
        except (TypeError, KeyError, AttributeError) as error:
            raise ValueError(f"not a router's row: {error!r}") from error


@define
class _Peer:
    entry: PeerEntry
    state: PeerState | None = None
    heard_s: float | None = None


@define
class PeerTable:
    """Hold the other routers and what they said last."""

    own_vm: str
    own_zone: AvailabilityZone = AvailabilityZone("")
    _peers: dict[str, _Peer] = field(factory=dict)
    #: The vms that hold each account's budget; empty again when a router comes or goes.
    _holders: dict[ClientAccountName, frozenset[str]] = field(factory=dict)
    #: What each process stated last of its limits; kept for those that ended, whose
    #: successors ask.
    _statements: OrderedDict[InstanceId, Statement] = field(factory=OrderedDict)

    def put(self, entry: PeerEntry) -> None:
        """Take in a router's row."""
        if entry.vm == self.own_vm:
            return
        known = self._peers.get(entry.vm)
        if known is None or known.entry != entry:
            self._peers[entry.vm] = _Peer(entry)
            self._holders.clear()

    def remove(self, vm: str) -> None:
        """Take in that a router's row is gone."""
        self._peers.pop(vm, None)
        self._holders.clear()

    def hear(self, state: PeerState, now_s: float) -> None:
        """Take in what a router says; older statements are dropped."""
        for peer in self._peers.values():
            if peer.entry.instance_id != state.sender:
                continue
            if peer.state is None or state.sequence > peer.state.sequence:
                peer.state = state
                peer.heard_s = now_s

    def hear_left(
        self, sender: InstanceId, account: ClientAccountName, left_tokens: int
    ) -> None:
        """Take in what a router has left of an account after it lent some.

        Its statement may be as old as the interval between two. Until the next one the
        lent tokens would count twice, here and there: an account that is spent would
        seem to have some out of reach, and its callers would be told to come back.
        """
        for peer in self._peers.values():
            if peer.entry.instance_id == sender and peer.state is not None:
                spare = {**peer.state.spare_tokens, account: left_tokens}
                peer.state = evolve(peer.state, spare_tokens=spare)

    def hear_limits(self, sender: InstanceId, statement: Statement) -> None:
        """Keep a router's statement of its limits, unless a later one is known."""
        if statement.sequence >= self.last_statement(sender).sequence:
            self._statements[sender] = statement
            self._statements.move_to_end(sender)
        if len(self._statements) > _MOST_STATEMENTS:
            self._statements.popitem(last=False)

    def last_statement(self, instance_id: InstanceId) -> Statement:
        """Return what a process stated last, with sequence 0 where it never did."""
        return self._statements.get(instance_id, _NOTHING_HEARD)

    def entries(self) -> list[PeerEntry]:
        """Return all known routers but this one."""
        return [peer.entry for peer in self._peers.values()]

    def live(self, now_s: float) -> list[PeerEntry]:
        """Return those heard lately."""
        return [peer.entry for peer in self._heard(now_s)]

    def silent(self, now_s: float) -> list[str]:
        """Return the vms of silent routers whose rows this one is to look after.

        Two of the routers that are heard look after each, so that the work of one
        does not grow with the fleet, and one of them may fail.
        """
        heard = {peer.entry.vm for peer in self._heard(now_s)} | {self.own_vm}
        return [
            vm
            for vm in self._peers
            if vm not in heard and self.own_vm in rendezvous_order(vm, heard)[:_HEIRS]
        ]

    def all_heard(self, now_s: float) -> bool:
        """Return whether each known router was heard lately."""
        return self.silent_s(now_s) is None

    def silent_s(self, now_s: float) -> float | None:
        """Return for how long the router that fell silent last has been silent.

        None where each known one was heard lately, 0 where one was never heard.
        """
        heard = {peer.entry.vm for peer in self._heard(now_s)}
        silent = [peer for vm, peer in self._peers.items() if vm not in heard]
        since = (
            0.0 if peer.heard_s is None else now_s - peer.heard_s for peer in silent
        )
        return min(since, default=None)

    def spare_tokens(self, account: ClientAccountName, now_s: float) -> int:
        """Return what the others said they have free of an account."""
        states = [peer.state for peer in self._heard(now_s) if peer.state]
        return sum(max(0, state.spare_tokens.get(account, 0)) for state in states)

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

    def collects(self, account: ClientAccountName, now_s: float) -> bool:
        """Return whether this router collects an account's leftovers.

        The first of the holders that are heard does.
        """
        holders = self.holders(account)
        heard = {peer.entry.vm for peer in self._heard(now_s)}
        return self.own_vm == min((holders & heard) | (holders & {self.own_vm}))

    def leftovers(
        self, account: ClientAccountName, now_s: float
    ) -> list[tuple[PeerEntry, int]]:
        """Return the routers that have tokens of an account and do not hold it."""
        holders = self.holders(account)
        return [
            (peer.entry, _spare(peer, account))
            for peer in self._heard(now_s)
            if peer.entry.vm not in holders and _spare(peer, account) > 0
        ]

    def lenders(self, account: ClientAccountName, now_s: float) -> list[PeerEntry]:
        """Return the routers to ask for tokens, in this order.

        Those that hold the account's budget come first, the one with the most before
        the others. One that was never heard may have just started and is asked too.
        """
        holders = self.holders(account)

        def rank(peer: _Peer) -> tuple[bool, bool, int]:
            spare = _spare(peer, account)
            return spare <= 0, peer.entry.vm not in holders, -spare

        new = [self._peers[vm] for vm in holders if vm in self._peers]
        asked = self._heard(now_s) + [peer for peer in new if peer.heard_s is None]
        return [peer.entry for peer in sorted(asked, key=rank)[:_MOST_LENDERS]]

    def portions(
        self, account: ClientAccountName, tokens: int, now_s: float
    ) -> list[tuple[PeerEntry, int]]:
        """Return which routers to ask at once for tokens, and each for how many.

        The load it is made for is a long prompt in a large fleet: thirty routers hold
        a thirtieth of a budget each, and the prompt needs what ten of them hold. Asked
        one after the other, they answer later than the prompt can wait.

        :returns: one router where one has enough by what it said last.
        """
        found = []
        missing = tokens
        for entry in self.lenders(account, now_s):
            spare = _spare(self._peers[entry.vm], account)
            if missing <= 0 or spare <= 0:
                break
            part = min(missing, spare)
            found.append((entry, part))
            missing -= part
        return found

    def load(self, now_s: float) -> dict[TargetName, LocalLoad]:
        """Return what the other routers have at each target together."""
        found: dict[TargetName, LocalLoad] = {}
        for peer in self._heard(now_s):
            if peer.state is None:
                continue
            for target, load in peer.state.load.items():
                known = found.get(target, _NO_LOAD)
                found[target] = LocalLoad(
                    known.running + load.running,
                    known.unread_tokens + load.unread_tokens,
                )
        return found

    def _heard(self, now_s: float) -> list[_Peer]:
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_s is not None and now_s - peer.heard_s <= _heard_for_s(peer)
        ]


def _heard_for_s(peer: _Peer) -> float:
    """Return how long a router's last statement counts."""
    interval_s = peer.state.interval_s if peer.state is not None else 0.0
    return max(_HEARD_S, _HEARD_INTERVALS * interval_s)


def _spare(peer: _Peer, account: ClientAccountName) -> int:
    return peer.state.spare_tokens.get(account, 0) if peer.state is not None else 0
