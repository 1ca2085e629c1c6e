"""A generation that terminates each engine that runs it, in a fleet with sidecars."""

from __future__ import annotations

import json
import unittest

import anyio

from endivegw.dev.fleet import DevFleet
from tests.test_path import MODEL, chat, post, running_fleet

DEADLY = "a prompt that ends its engine"

#: Engines that one content may terminate: three until it is quarantined, and three more
#: until all routers have the evidence.
MAX_TERMINATIONS = 6


async def send_deadly(fleet: DevFleet, router: int) -> None:
    """Send the generation that terminates engines to one router."""
    path = "/v1/chat/completions"
    await post(fleet, path, chat(DEADLY), router=router, endivegw_deadline_s="8")


class CrashingCallTests(unittest.TestCase):
    """A caller sends the same generation to both routers."""

    def test_a_generation_that_terminates_engines_is_quarantined(self) -> None:
        """Guards against one generation that terminates engine after engine."""

        async def scenario() -> None:
            async with running_fleet() as fleet:
                for engine in fleet.engines.values():
                    engine.options.crash_trigger = DEADLY
                for calls in (1, 1, 1, 6):
                    async with anyio.create_task_group() as tasks:
                        for number in range(calls):
                            tasks.start_soon(send_deadly, fleet, number % 2)
                terminations = sum(
                    engine.crash_count for engine in fleet.engines.values()
                )
                self.assertLessEqual(terminations, MAX_TERMINATIONS)

        anyio.run(scenario)

    def test_a_concurrent_generation_is_answered(self) -> None:
        """Guards against refusing healthy generations that run beside a deadly one."""

        async def scenario() -> None:
            async with running_fleet() as fleet:
                for engine in fleet.engines.values():
                    engine.options.crash_trigger = DEADLY
                statuses: list[int] = []

                async def send_healthy(number: int) -> None:
                    body = chat(f"all is well {number}", max_tokens=20)
                    path = "/v1/chat/completions"
                    for _ in range(3):
                        reply = await post(fleet, path, body, router=number % 2)
                        if reply.status == 200:
                            break
                    statuses.append(reply.status)

                async with anyio.create_task_group() as tasks:
                    for number in range(8):
                        tasks.start_soon(send_healthy, number)
                        tasks.start_soon(send_deadly, fleet, number % 2)
                self.assertEqual(statuses, [200] * 8)

        anyio.run(scenario)

    def test_a_message_that_terminates_engines_is_quarantined(self) -> None:
        """Guards against a message that ends engine after engine in other prompts."""

        async def scenario() -> None:
            async with running_fleet() as fleet:
                for engine in fleet.engines.values():
                    engine.options.crash_trigger = DEADLY
                path = "/v1/chat/completions"

                async def send(number: int, *messages: str) -> int:
                    roles = ("system", "user", "user")
                    prompt = [
                        {"role": role, "content": text}
                        for role, text in zip(roles, (*messages, f"question {number}"))
                    ]
                    body = json.dumps({"model": MODEL, "messages": prompt}).encode()
                    reply = await post(
                        fleet, path, body, router=number % 2, endivegw_deadline_s="8"
                    )
                    return reply.status

                for number in range(12):
                    with anyio.fail_after(20):
                        while await send(number, "be brief") != 200:
                            await anyio.sleep(0.05)
                    await send(number, "be brief", DEADLY)
                terminations = sum(
                    engine.crash_count for engine in fleet.engines.values()
                )
                self.assertLessEqual(terminations, MAX_TERMINATIONS)

        anyio.run(scenario)


if __name__ == "__main__":
    unittest.main()
