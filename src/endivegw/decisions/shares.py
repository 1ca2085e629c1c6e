"""Who has had how much: client accounts over all models that share targets."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import WorkItem
from endivegw.types import ClientAccountName, Priority

__all__ = ["Shares"]


@define(eq=False)
class _Account:
    """Hold one client account in one priority.

    :param tag: its virtual time: slot-seconds served, divided by its weight.
    :param backlog_s: slot-seconds that it has queued.
    :param by_latest: the same for each whole second of the latest start.
    """

    weight: float
    tag: float = 0.0
    backlog_s: float = 0.0
    count: int = 0
    by_latest: dict[int, float] = field(factory=dict)

    def before_s(self, latest_s: float) -> float:
        """Return the slot-seconds queued with less slack, or the same."""
        second = int(latest_s)
        return sum(held_s for key, held_s in self.by_latest.items() if key <= second)


@define(eq=False)
class _Class:
    """Hold the accounts of one priority.

    :param virtual: the tag of an account that gets exactly its share.
    """

    virtual: float = 0.0
    backlog_s: float = 0.0
    active_weight: float = 0.0
    accounts: dict[ClientAccountName, _Account] = field(factory=dict)


@define(eq=False)
class Shares:
    """Account for the models whose targets overlap.

    Slots of a target are shared by its models, so an account's share counts
    over all of them: with one account each per model, the model whose queue is
    looked at first would take all slots.

    :param running: this router's work on the targets of these models.
    :param appointed_s: until when callers were told to come back.
    """

    running: int = 0
    appointed_s: float = 0.0
    _classes: dict[Priority, _Class] = field(
        factory=lambda: {priority: _Class() for priority in Priority}
    )

    def add(self, item: WorkItem, held_s: float, latest_s: float) -> None:
        """Count queued work."""
        cls = self._classes[item.priority]
        account = cls.accounts.get(item.client_account)
        if account is None:
            account = cls.accounts[item.client_account] = _Account(item.weight)
        if account.count == 0:
            account.weight = item.weight
            cls.active_weight += account.weight
            # An account that was away does not save up service for later.
            account.tag = max(account.tag, cls.virtual)
        account.count += 1
        account.backlog_s += held_s
        second = int(latest_s)
        account.by_latest[second] = account.by_latest.get(second, 0.0) + held_s
        cls.backlog_s += held_s

    def remove(self, item: WorkItem, held_s: float, latest_s: float) -> None:
        """Take out work that is queued no more."""
        cls = self._classes[item.priority]
        account = cls.accounts[item.client_account]
        account.count -= 1
        account.backlog_s -= held_s
        second = int(latest_s)
        left_s = account.by_latest[second] - held_s
        if left_s > 1e-9:
            account.by_latest[second] = left_s
        else:
            del account.by_latest[second]
        cls.backlog_s = max(0.0, cls.backlog_s - held_s)
        if account.count:
            return
        account.backlog_s = 0.0
        cls.active_weight -= account.weight
        if account.tag <= cls.virtual:
            # Without work and without debt it is like an unknown account.
            del cls.accounts[item.client_account]

    def charge(self, item: WorkItem, held_s: float) -> None:
        """Count work that is served now against its account's share."""
        cls = self._classes[item.priority]
        account = cls.accounts[item.client_account]
        account.tag += held_s / account.weight
        cls.virtual += held_s / max(account.weight, cls.active_weight)

    def ahead_of_share_s(self, priority: Priority, name: ClientAccountName) -> float:
        """Return how much more than its share an account with work has had."""
        cls = self._classes[priority]
        return cls.accounts[name].tag - cls.virtual

    def catch_up(self, priority: Priority, name: ClientAccountName) -> None:
        """Let all accounts' shares grow to what this one has had.

        Called when no account below its share has work that can be served: the
        slots go to those that have, and are not held against them for ever.
        """
        cls = self._classes[priority]
        cls.virtual = max(cls.virtual, cls.accounts[name].tag)

    def tag(self, priority: Priority, name: ClientAccountName) -> float:
        """Return the virtual time of an account that has work queued."""
        return self._classes[priority].accounts[name].tag

    def backlog_s(self, priority: Priority, name: ClientAccountName) -> float:
        """Return an account's queued slot-seconds for its weight."""
        account = self._classes[priority].accounts[name]
        return account.backlog_s / account.weight

    def ahead_s(self, item: WorkItem, held_s: float, latest_s: float) -> float:
        """Return the slot-seconds that are served before new work.

        All of the higher priorities, and of its own what the other accounts
        get by their weights while this account's work with less slack is
        served. Work with more slack lets it pass: without that, one account's
        long plans would have its short questions refused.
        """
        before_s = 0.0
        for priority, cls in self._classes.items():
            if priority < item.priority:
                before_s += cls.backlog_s
        cls = self._classes[item.priority]
        account = cls.accounts.get(item.client_account)
        active = cls.active_weight
        own_s = held_s
        if account is None or account.count == 0:
            active += item.weight
        else:
            own_s += account.before_s(latest_s)
        shared_s = own_s * active / item.weight - held_s
        return before_s + min(cls.backlog_s, shared_s)

    def appoint(
        self, held_s: float, wait_s: float, policy: Policy, now_s: float
    ) -> float:
        """Return after how long a refused caller should come back.

        The wait alone would send all callers who are refused within a second
        back within one second, to be refused again: an overload that lasts as
        long as its callers have patience. So each is told a time behind those
        told before, at the rate at which returning work can be served.

        :param wait_s: when its work would fit, if nobody else came back.
        """
        rate = max(1, self.running) * policy.comeback_share
        self.appointed_s = max(self.appointed_s, now_s + wait_s) + held_s / rate
        return min(policy.longest_retry_s, self.appointed_s - now_s)
