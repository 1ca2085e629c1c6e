"""What routers know of the only software version of a service. No I/O."""

from __future__ import annotations

from attrs import frozen

__all__ = ["SoleVersion", "VersionPoll"]

#: Share of a group of routers beyond which another group cannot be as large.
_MAJORITY = 0.5


@frozen
class SoleVersion:
    """Hold the only version of a service that a router knows.

    :param software_version: None if the router knows several, or none.
    :param is_confirmed: whether the store confirmed it when it was asked for.
    """

    software_version: str | None
    is_confirmed: bool = False


@frozen
class VersionPoll:
    """Hold what other routers answered.

    :param answers: the answers that came in time.
    :param asked: number of routers that were asked.
    :param reachable_share: share of the registered routers that reported recently, with
        the asking one.
    """

    answers: tuple[SoleVersion, ...]
    asked: int
    reachable_share: float

    def confirmed(self) -> str | None:
        """Return a version that the store confirmed to another router."""
        for answer in self.answers:
            if answer.is_confirmed and answer.software_version is not None:
                return answer.software_version
        return None

    def agrees(self, own_version: str) -> bool:
        """Return whether most routers know no other version in an outage of the store.

        A router that is cut off, alone or with few others, reaches less than half of
        those that it asks at first, and knows later that most are gone.
        """
        if any(answer.software_version != own_version for answer in self.answers):
            return False
        answered_share = (len(self.answers) + 1) / (self.asked + 1)
        return min(answered_share, self.reachable_share) > _MAJORITY
