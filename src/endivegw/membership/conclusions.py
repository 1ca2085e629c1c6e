"""What a process may conclude of a peer, and what it may not.

A silent peer and a dead one look alike, and a list that lags names both. So
nothing in here ever frees a grant, a claim or an order: whoever wants that
must seal at the sidecars or win a conditional write in the table.
"""

from __future__ import annotations

import enum

from attrs import frozen

__all__ = ["Conclusion", "PeerState", "Use", "conclude"]


class PeerState(enum.Enum):
    """How a peer looks from here; others may see it in another state."""

    #: Listed, and it answers.
    ALIVE = "alive"
    #: Listed, and it has never answered: it starts, is dead, or is cut off.
    UNHEARD = "unheard"
    #: Listed, answered once, and is silent: dead, paused, or cut off from here.
    SILENT = "silent"
    #: It answers, but the list does not name it (any more, or yet).
    UNLISTED = "unlisted"
    #: It answers, but has come back from silence too often of late.
    FLAPPING = "flapping"
    #: It answers, and wants no new work for now.
    DRAINING = "draining"
    #: It said, or the list says, that it ends.
    LEAVING = "leaving"
    #: A newer machine of the list holds its address.
    SUPERSEDED = "superseded"
    #: Unlisted and silent for longer than the list may lag.
    GONE = "gone"


class Use(enum.IntEnum):
    """Whether new work may go to a peer; lower is better."""

    PREFERRED = 0
    #: Only where no preferred peer can take the work: trying a silent peer may
    #: cost time, while refusing the caller fails for certain.
    LAST_RESORT = 1
    NEVER = 2


@frozen
class Conclusion:
    """Hold what may be done on the strength of a peer's state.

    :param use: whether new work may go there.
    :param take_back: whether work queued for it, and not handed over yet,
        should be placed elsewhere.
    :param start_recovery: whether to **begin** recovering its grants, by
        sealing. It is a hint and no permission: what cannot be sealed stays
        held back.
    """

    use: Use
    take_back: bool
    start_recovery: bool


_CONCLUSIONS = {
    PeerState.ALIVE: Conclusion(Use.PREFERRED, False, False),
    PeerState.UNHEARD: Conclusion(Use.NEVER, False, False),
    PeerState.SILENT: Conclusion(Use.LAST_RESORT, True, False),
    # A list that fails and names nobody must not stop the fleet.
    PeerState.UNLISTED: Conclusion(Use.LAST_RESORT, False, False),
    PeerState.FLAPPING: Conclusion(Use.LAST_RESORT, False, False),
    PeerState.DRAINING: Conclusion(Use.NEVER, True, False),
    PeerState.LEAVING: Conclusion(Use.NEVER, True, False),
    PeerState.SUPERSEDED: Conclusion(Use.NEVER, True, True),
    PeerState.GONE: Conclusion(Use.NEVER, True, True),
}


def conclude(state: PeerState) -> Conclusion:
    """Return what may be done on the strength of a state."""
    return _CONCLUSIONS[state]
