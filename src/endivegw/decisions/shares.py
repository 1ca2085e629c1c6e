"""Fair shares of client accounts over all models that share targets."""

from __future__ import annotations

from attrs import define, field

from endivegw.decisions.policy import Policy
from endivegw.decisions.work import WorkItem
from endivegw.types import ClientAccountName, Priority

__all__ = ["Shares"]


@define(eq=False)
class _Account:
    """Hold the state of one client account in one priority.

    :param virtual_time: slot-seconds served, divided by the account's weight.
    :param backlog_s: slot-seconds of its queued requests.
    :param by_latest: the same for each whole second of the latest start.
    """

    weight: float
    virtual_time: float = 0.0
    backlog_s: float = 0.0
    count: int = 0
    by_latest: dict[int, float] = field(factory=dict)

    def queued_before_s(self, latest_start_s: float) -> float:
        """Return the queued slot-seconds with a latest start up to this time."""
        second = int(latest_start_s)
        return sum(
            service_time_s
            for key, service_time_s in self.by_latest.items()
            if key <= second
        )


@define(eq=False)
class _PriorityClass:
    """Hold the accounts of one priority.

    :param system_virtual_time: virtual time of an account that gets exactly its share.
    :param active_weight: total weight of the accounts with queued requests.
    """

    system_virtual_time: float = 0.0
    backlog_s: float = 0.0
    active_weight: float = 0.0
    accounts: dict[ClientAccountName, _Account] = field(factory=dict)


@define(eq=False)
class Shares:
    """Track the service of client accounts over models whose targets overlap.

    Models share the slots of a target, so an account's share is counted over all of
    them. With separate shares per model, the model whose queue is served first would
    take all slots.

    :param running: this router's running requests on the targets of these models.
    :param retries_scheduled_until_s: latest time at which a refused caller was asked to
        retry.
    """

    running: int = 0
    retries_scheduled_until_s: float = 0.0
    _classes: dict[Priority, _PriorityClass] = field(
        factory=lambda: {priority: _PriorityClass() for priority in Priority}
    )

    def add(self, item: WorkItem, service_time_s: float, latest_start_s: float) -> None:
        """Add a queued request."""
        priority_class = self._classes[item.priority]
        account = priority_class.accounts.get(item.client_account)
        if account is None:
            account = priority_class.accounts[item.client_account] = _Account(
                item.weight
            )
        if account.count == 0:
            account.weight = item.weight
            priority_class.active_weight += account.weight
            # An account cannot save up service while it has no requests queued.
            account.virtual_time = max(
                account.virtual_time, priority_class.system_virtual_time
            )
        account.count += 1
        account.backlog_s += service_time_s
        second = int(latest_start_s)
        account.by_latest[second] = account.by_latest.get(second, 0.0) + service_time_s
        priority_class.backlog_s += service_time_s

    def remove(
        self, item: WorkItem, service_time_s: float, latest_start_s: float
    ) -> None:
        """Remove a request that is no longer queued."""
        priority_class = self._classes[item.priority]
        account = priority_class.accounts[item.client_account]
        account.count -= 1
        account.backlog_s -= service_time_s
        second = int(latest_start_s)
        remaining_s = account.by_latest[second] - service_time_s
        if remaining_s > 1e-9:
            account.by_latest[second] = remaining_s
        else:
            del account.by_latest[second]
        priority_class.backlog_s = max(0.0, priority_class.backlog_s - service_time_s)
        if account.count:
            return
        account.backlog_s = 0.0
        priority_class.active_weight -= account.weight
        if account.virtual_time <= priority_class.system_virtual_time:
            # Without queued requests and excess service, the account needs no record.
            del priority_class.accounts[item.client_account]

    def charge(self, item: WorkItem, service_time_s: float) -> None:
        """Charge a request that is being placed to its account's share."""
        priority_class = self._classes[item.priority]
        account = priority_class.accounts[item.client_account]
        account.virtual_time += service_time_s / account.weight
        priority_class.system_virtual_time += service_time_s / max(
            account.weight, priority_class.active_weight
        )

    def ahead_of_share_s(self, priority: Priority, name: ClientAccountName) -> float:
        """Return the service beyond its share of an account with queued requests."""
        priority_class = self._classes[priority]
        return (
            priority_class.accounts[name].virtual_time
            - priority_class.system_virtual_time
        )

    def catch_up(self, priority: Priority, name: ClientAccountName) -> None:
        """Raise the system virtual time to that of an account.

        Called when no account within its share has requests that can be served: the
        free slots go to accounts beyond their share and are not charged against them
        forever.
        """
        priority_class = self._classes[priority]
        priority_class.system_virtual_time = max(
            priority_class.system_virtual_time,
            priority_class.accounts[name].virtual_time,
        )

    def virtual_time(self, priority: Priority, name: ClientAccountName) -> float:
        """Return the virtual time of an account with queued requests."""
        return self._classes[priority].accounts[name].virtual_time

    def backlog_s(self, priority: Priority, name: ClientAccountName) -> float:
        """Return an account's queued slot-seconds per unit of weight."""
        account = self._classes[priority].accounts[name]
        return account.backlog_s / account.weight

    def work_ahead_s(
        self, item: WorkItem, service_time_s: float, latest_start_s: float
    ) -> float:
        """Return the slot-seconds that are served before a new request.

        These are all queued requests of higher priorities and, within the request's
        own, what the other accounts get by their weights while this account's requests
        with less slack are served. Requests with more slack are not counted: an
        account's long requests would otherwise have its short ones refused.
        """
        higher_priority_s = 0.0
        for priority, priority_class in self._classes.items():
            if priority < item.priority:
                higher_priority_s += priority_class.backlog_s
        priority_class = self._classes[item.priority]
        account = priority_class.accounts.get(item.client_account)
        active = priority_class.active_weight
        account_s = service_time_s
        if account is None or account.count == 0:
            active += item.weight
        else:
            account_s += account.queued_before_s(latest_start_s)
        shared_s = account_s * active / item.weight - service_time_s
        return higher_priority_s + min(priority_class.backlog_s, shared_s)

    def schedule_retry_s(
        self, service_time_s: float, wait_s: float, policy: Policy, now_s: float
    ) -> float:
        """Return the time after which a refused caller should retry.

        With the wait alone, all callers refused within a second would retry within one
        second and be refused again, and the overload would last as long as the callers
        retried. Each caller therefore gets a time after those given before, at
        the rate at which retried requests can be served.

        :param wait_s: time until the request would fit if no other caller retried.
        """
        rate = max(1, self.running) * policy.retry_capacity_share
        self.retries_scheduled_until_s = (
            max(self.retries_scheduled_until_s, now_s + wait_s) + service_time_s / rate
        )
        return min(policy.max_retry_after_s, self.retries_scheduled_until_s - now_s)
