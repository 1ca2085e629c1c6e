"""Parts of prompts that terminate each target that begins to write on them."""

from __future__ import annotations

import random
import unittest

import anyio
from attrs import define, field

from endivegw_standins.platform_worker import WorkerRun
from tests.platform_fleet import ClientFleet, platform_fleet

DEADLY_PART = "bad0bad0"

#: Time after the fifth termination from which on sends count, and how many may be.
CONTACT_S = 3.0
MAX_LATE = 3

#: Share of its earlier rate at which sound requests must begin again.
MIN_SOUND_SHARE = 0.5

#: Number of sound requests from which on their share counts.
MIN_COUNTED = 20

SEED = 1
SPAN_S = 13.0
QUIET_S = 2.0
DEADLY_PER_S = 6.0
SOUND_PER_S = 30.0


@define
class Sound:
    """One sound request; ``begun`` if its first attempt brought an event."""

    at_s: float
    begun: bool = False


@define
class Play:
    """Callers that send sound and deadly requests, which share parts.

    :ivar ends_s: times at which targets terminated.
    :ivar deadly_sends_s: times at which deadly requests reached a target.
    """

    fleet: ClientFleet
    rng: random.Random
    sound: list[Sound] = field(factory=list)
    ends_s: list[float] = field(factory=list)
    deadly_sends_s: list[float] = field(factory=list)

    def arm(self) -> None:
        """Let the deadly part terminate each target, and count."""
        play = self

        class Runs(list[WorkerRun]):
            """Note when deadly requests reach a target."""

            def append(self, run: WorkerRun) -> None:
                parts = run.fields.get("endivegw-prompt-prefix", "")
                if DEADLY_PART in parts:
                    play.deadly_sends_s.append(anyio.current_time())
                super().append(run)

        class Ends(list[str]):
            """Note when a target terminates."""

            def append(self, request_id: str) -> None:
                play.ends_s.append(anyio.current_time())
                super().append(request_id)

        for name, worker in self.fleet.workers.items():
            worker.events, worker.event_pause_s, worker.prefill_s = 4, 0.05, 0.1
            worker.crashing_part = DEADLY_PART
            worker.runs, worker.crashing_request_ids = Runs(), Ends()
            self.fleet.targets[name].restart_delay_s = 1.0

    async def run(self, span_s: float) -> None:
        """Send requests; deadly ones only after a quiet time."""
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_deadly, start_s + QUIET_S, start_s + span_s)
            while anyio.current_time() < start_s + span_s:
                tasks.start_soon(self._send_sound)
                await anyio.sleep(self.rng.expovariate(SOUND_PER_S))

    async def _send_deadly(self, first_s: float, last_s: float) -> None:
        await anyio.sleep(first_s - anyio.current_time())
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < last_s:
                tasks.start_soon(self._send, ["f1", DEADLY_PART, self._document()])
                await anyio.sleep(self.rng.expovariate(DEADLY_PER_S))

    async def _send_sound(self) -> None:
        sound = Sound(anyio.current_time())
        self.sound.append(sound)
        sound.begun = await self._send(["f1", self._document()])

    async def _send(self, parts: list[str]) -> bool:
        """Send a request with parts and one of its own; return whether it began."""
        own = f"{self.rng.getrandbits(64):016x}"
        prompt = ",".join(f"{part}:10" for part in [*parts, own])
        try:
            answer = await self.fleet.send_request(
                "resumable",
                router=self.rng.randrange(len(self.fleet.ports)),
                tokens=(40, 16),
                body=own.encode(),
                fields=(("endivegw-prompt-prefix", prompt),),
            )
        except OSError:
            return False
        return b"data:" in answer.body

    def _document(self) -> str:
        return f"d{self.rng.randrange(40):07x}"

    def late_sends(self) -> int:
        """Return how many deadly requests reached a target too late."""
        if len(self.ends_s) < 5:
            return 0
        from_s = sorted(self.ends_s)[4] + CONTACT_S
        return sum(at_s > from_s for at_s in self.deadly_sends_s)

    def sound_share(self) -> float | None:
        """Return the rate at which sound requests begin as a share of that before.

        None if too few were sent after the targets had settled.
        """
        first_s = self.sound[0].at_s + QUIET_S
        last_end_s = sorted(self.ends_s)[:5][-1] if self.ends_s else first_s
        before = [sound.begun for sound in self.sound if sound.at_s < first_s]
        after = [
            sound.begun
            for sound in self.sound
            if sound.at_s > last_end_s + 2 * CONTACT_S
        ]
        if len(after) < MIN_COUNTED:
            return None
        return (sum(after) / len(after)) / (sum(before) / len(before))


def play_fleet(seed: int, routers: int = 4, engines: int = 10) -> Play:
    """Play a fleet; return what callers and targets counted."""

    async def scenario() -> Play:
        async with platform_fleet(routers, engines) as fleet:
            play = Play(fleet, random.Random(seed))
            play.arm()
            await play.run(SPAN_S)
            return play

    return anyio.run(scenario)


class FleetTests(unittest.TestCase):
    """Deadly requests come at all routers, no two alike, beside sound ones."""

    def test_a_part_that_terminates_targets_is_quarantined(self) -> None:
        """Guards against a part that ends target after target in other requests."""
        play = play_fleet(SEED)
        self.assertLessEqual(play.late_sends(), MAX_LATE, f"{len(play.ends_s)} ends")
        share = play.sound_share()
        if share is not None:
            self.assertGreaterEqual(share, MIN_SOUND_SHARE)


if __name__ == "__main__":
    unittest.main()
