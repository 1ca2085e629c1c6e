"""The observed states of a peer and the actions that each state permits.

An unresponsive peer cannot be distinguished from a dead one, and a VM list that lags
may name either. A state therefore never permits releasing a grant, a claim or an
order: that requires sealing at the sidecars or a successful conditional write to the
table.
"""

from __future__ import annotations

import enum

from attrs import frozen

__all__ = ["Eligibility", "PeerState", "PermittedActions", "permitted_actions_of"]


class PeerState(enum.Enum):
    """State of a peer as observed by this process; other processes may differ."""

    #: Listed and responding.
    ALIVE = "alive"
    #: Listed, but has never responded: starting, dead or partitioned.
    NEVER_RESPONDED = "unheard"
    #: Listed and responded before, but unresponsive now: dead, paused or
    #: partitioned from this process.
    UNRESPONSIVE = "silent"
    #: Responding, but no longer or not yet in the list.
    UNLISTED = "unlisted"
    #: Responding, but became responsive again too often recently.
    FLAPPING = "flapping"
    #: Responding, but accepts no new work for now.
    DRAINING = "draining"
    #: Terminating, as reported by the peer itself or by the list.
    LEAVING = "leaving"
    #: A newer machine in the list has its address.
    SUPERSEDED = "superseded"
    #: Unlisted and unresponsive for longer than the list may lag.
    REMOVED = "gone"


class Eligibility(enum.IntEnum):
    """Whether new work may be sent to a peer; lower values are preferred."""

    PREFERRED = 0
    #: Only if no preferred peer can accept the work. Trying an unresponsive peer
    #: may waste time, but refusing the request is a certain failure.
    LAST_RESORT = 1
    NEVER = 2


@frozen
class PermittedActions:
    """Hold the actions that a peer's state permits.

    :param eligibility: whether new work may be sent to the peer.
    :param reassign_queued: whether work that is queued for the peer and not yet
        sent should be placed elsewhere.
    :param start_recovery: whether to **start** recovering the peer's grants by
        sealing. This does not permit releasing them: grants that cannot be sealed
        stay reserved.
    """

    eligibility: Eligibility
    reassign_queued: bool
    start_recovery: bool


_PERMITTED_ACTIONS = {
    PeerState.ALIVE: PermittedActions(Eligibility.PREFERRED, False, False),
    PeerState.NEVER_RESPONDED: PermittedActions(Eligibility.NEVER, False, False),
    PeerState.UNRESPONSIVE: PermittedActions(Eligibility.LAST_RESORT, True, False),
    # An empty list from a failing list service must not stop the fleet.
    PeerState.UNLISTED: PermittedActions(Eligibility.LAST_RESORT, False, False),
    PeerState.FLAPPING: PermittedActions(Eligibility.LAST_RESORT, False, False),
    PeerState.DRAINING: PermittedActions(Eligibility.NEVER, True, False),
    PeerState.LEAVING: PermittedActions(Eligibility.NEVER, True, False),
    PeerState.SUPERSEDED: PermittedActions(Eligibility.NEVER, True, True),
    PeerState.REMOVED: PermittedActions(Eligibility.NEVER, True, True),
}


def permitted_actions_of(state: PeerState) -> PermittedActions:
    """Return the actions that a state permits."""
    return _PERMITTED_ACTIONS[state]
