"""Long prompts beside chats on targets that differ in speed."""

import random
import unittest

from endivegw.decisions import (
    AttemptEnd,
    AttemptKind,
    Dispatcher,
    Placement,
    Policy,
    TargetView,
    WorkItem,
)
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    InstanceId,
    Priority,
    TargetName,
)

ZONE = AvailabilityZone("z")
SLOW = TargetName("slow")

#: Token interval of each target, and its longest pause beside a long prompt.
INTERVALS = {"fast-1": (0.02, 0.24), "fast-2": (0.02, 0.24), "slow": (0.026, 0.32)}


def item(number: int, prompt_tokens: int, now_s: float) -> WorkItem:
    """Return a request whose answer must not pause for more than 0.3 s."""
    return WorkItem(
        f"r-{number}",
        ClientAccountName("a"),
        Priority.URGENT,
        1.0,
        "m",
        now_s + 15.0,
        prompt_tokens,
        200,
        now_s,
        pause_objective_s=0.3,
    )


class PauseTests(unittest.TestCase):
    """Two chats per long prompt, on three targets of which one is a third slower."""

    def long_prompts_on_the_slow_target(self, pause_cost_s: float) -> float:
        """Return the share of long prompts on the slow target, after a warm-up."""
        policy = Policy(choices=8, pause_cost_s=pause_cost_s)
        dispatcher = Dispatcher(policy, ZONE, random.Random(3))
        dispatcher.set_targets(
            [
                TargetView(
                    TargetName(name), InstanceId(name), name, ZONE, frozenset({"m"}), 32
                )
                for name in INTERVALS
            ],
            0.0,
        )
        running: list[tuple[float, str, str]] = []
        long_prompt_targets: list[str] = []
        for number in range(900):
            now_s = number * 0.02
            for ends_s, request_id, target in list(running):
                if ends_s <= now_s:
                    running.remove((ends_s, request_id, target))
                    self.end(dispatcher, request_id, target, now_s)
            tokens = 12_000 if number % 3 == 0 else 600
            placed = dispatcher.submit(item(number, tokens, now_s), now_s)
            assert isinstance(placed, Placement)
            if tokens > 600 and number > 300:
                long_prompt_targets.append(placed.target)
            running.append((now_s + 0.5, placed.item.request_id, placed.target))
        return long_prompt_targets.count(SLOW) / len(long_prompt_targets)

    def end(
        self, dispatcher: Dispatcher, request_id: str, target: str, now_s: float
    ) -> None:
        """End an answer with the pauses that are usual on its target."""
        token_interval_s, pause_s = INTERVALS[target]
        dispatcher.first_token(request_id, now_s - 0.3)
        result = AttemptEnd(
            AttemptKind.OK,
            output_tokens=50,
            longest_pause_s=pause_s,
            usual_pause_s=token_interval_s,
        )
        dispatcher.ended(request_id, TargetName(target), result, now_s)

    def test_long_prompts_keep_away_from_slow_targets(self) -> None:
        """A long prompt on the slow target would make all chats there late.

        Callers would see answers that stall for a third of a second although no target
        is full.
        """
        self.assertGreater(self.long_prompts_on_the_slow_target(0.0), 0.2)
        self.assertLess(self.long_prompts_on_the_slow_target(0.6), 0.05)
