"""Targets and sidecars that are silent for a second or two, and go on."""

import contextlib
import signal
import threading
import time
import unittest

from endivegw.dev.layout import SERVICE
from endivegw_standins.engine_text import answer_text
from tests.process_fleet import process_fleet
from tests.test_processes import chat, open_stream, post, text_of, wait_until

#: Longer than the time-outs of connecting, of heartbeats and of load reports.
SILENCE_S = 1.9
PIECES = 300


@contextlib.contextmanager
def concurrent_posts(fleet, requests):
    """Send requests, and yield the replies by name; they are complete at the end."""
    replies = {}

    def send(name, arguments):
        replies[name] = post(fleet, 1, *arguments, idempotency_key=name)

    threads = [threading.Thread(target=send, args=item) for item in requests.items()]
    for thread in threads:
        thread.start()
    yield replies
    for thread in threads:
        thread.join(30)


class SilenceTests(unittest.TestCase):
    """All targets are silent while they run requests, and before."""

    # Guards against taking the silence of a sound sidecar for its loss.
    def test_paused_sidecars_lose_no_answer(self):
        with process_fleet(routers=1) as fleet:
            (service,) = fleet.services.values()
            service.options.delay_s = 1.0
            requests = {
                "notice": (b"hi", f"/services/{SERVICE}/notices"),
                "object": (chat(f"a len={PIECES}"),),
            }
            prompt = f"b len={PIECES}"
            pool, context = open_stream(fleet, 1, chat(prompt, stream=True))
            with concurrent_posts(fleet, requests) as replies:
                with pool, context as response:
                    chunks = response.iter_stream()
                    data = next(chunks)
                    wait_until(lambda: service.bodies, 20, "the call")
                    for process in fleet.sidecars.values():
                        process.send_signal(signal.SIGSTOP)
                    # These find all sidecars silent.
                    late = {
                        "late": (chat("c len=20"),),
                        "notice-2": (b"ho", f"/services/{SERVICE}/notices"),
                    }
                    with concurrent_posts(fleet, late) as late_replies:
                        time.sleep(SILENCE_S)
                        for process in fleet.sidecars.values():
                            process.send_signal(signal.SIGCONT)
                        data += b"".join(chunks)
            statuses = {name: r.status for name, r in (replies | late_replies).items()}
            self.assertEqual(set(statuses.values()), {200}, statuses)
            self.assertTrue(data.endswith(b"data: [DONE]\n\n"), data[-300:])
            expected = answer_text(f"a len={PIECES}", 250)
            self.assertEqual(text_of(replies["object"]), expected)
            self.assertEqual(service.calls_by_key, {"notice": 1, "notice-2": 1})

    # Guards against taking the silence of a sound engine or service for its loss.
    def test_silent_targets_are_waited_for(self):
        with process_fleet(routers=1) as fleet:
            (service,) = fleet.services.values()
            service.options.delay_s = SILENCE_S
            for engine in fleet.engines.values():
                engine.options.decode_tokens_per_s = 1 / SILENCE_S
            requests = {
                "notice": (b"hi", f"/services/{SERVICE}/notices"),
                "object": (chat("a len=2"),),
                "stream": (chat("b len=2", stream=True),),
            }
            with concurrent_posts(fleet, requests) as replies:
                pass
            statuses = {name: reply.status for name, reply in replies.items()}
            self.assertEqual(set(statuses.values()), {200}, statuses)
            self.assertEqual(len(statuses), len(requests))
            stream = replies["stream"].content
            self.assertTrue(stream.endswith(b"data: [DONE]\n\n"), stream)
            starts = [
                c.starts for e in fleet.engines.values() for c in e.consumed.values()
            ]
            self.assertEqual(starts, [1, 1])


if __name__ == "__main__":
    unittest.main()
