"""Only the fleet's own processes can call a sidecar; tested over sockets."""

import contextlib
import pathlib
import tempfile
import unittest
from contextlib import aclosing

import anyio

from endivegw.exceptions import PeerError, SettingsError
from endivegw.peers import NotDelivered, OutcomeUnknown, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as messages
from endivegw.peers._generated.endivegw_peers_grpc import SidecarBase, SidecarStub
from endivegw.peers.call_auth import (
    MAX_CLOCK_SKEW_S,
    CallTags,
    NonceCache,
    derive_call_key,
    make_credentials,
    verify_credentials,
)
from endivegw.peers.security import (
    KeyedPeers,
    PlainPeers,
    keyed_peers,
    open_channel,
    tls_peers,
)
from endivegw.peers.server import serve_peers
from endivegw.results import Done, Refused

KEY = KeyedPeers((b"k" * 32,))
CERTIFICATES = pathlib.Path(__file__).parent / "certificates"


def certificates(name):
    return tls_peers(
        CERTIFICATES / f"{name}-ca.pem",
        CERTIFICATES / f"{name}.pem",
        CERTIFICATES / f"{name}.key",
    )


class RecordingSidecar(SidecarBase):
    """Record the calls that arrive, and optionally hang or delay heartbeats."""

    def __init__(self):
        self.calls = []
        self.hang = False
        self.delays_s = []

    async def Execute(self, stream):
        async for message in stream:
            self.calls.append("execute")
            attempt = message.start.attempt_id
            for offset in range(3):
                await stream.send_message(
                    messages.Frame(attempt_id=attempt, offset=offset)
                )

    async def _unary(self, stream, reply):
        await stream.recv_message()
        self.calls.append(type(reply).__name__)
        await stream.send_message(reply)

    async def Cancel(self, stream):
        await self._unary(stream, messages.CancelReply())

    async def Seal(self, stream):
        await self._unary(stream, messages.SealReply())

    async def Heartbeat(self, stream):
        if self.hang:
            await anyio.sleep_forever()
        async for request in stream:
            self.calls.append("heartbeat")
            await anyio.sleep(self.delays_s.pop(0) if self.delays_s else 0)
            await stream.send_message(messages.HeartbeatReply(header=request.header))

    async def Claim(self, stream):
        await self._unary(stream, messages.ClaimReply())

    async def Configuration(self, stream):
        await self._unary(stream, messages.ConfigReply())


@contextlib.asynccontextmanager
async def serving(sidecar, security):
    async with anyio.create_task_group() as tasks:
        yield await tasks.start(serve_peers, [sidecar], "127.0.0.1", 0, security)
        tasks.cancel_scope.cancel()


async def execute(stub, attempts):
    frames = []
    async with stub.Execute.open() as stream:
        for number, attempt in enumerate(attempts):
            start = messages.ExecuteStart(attempt_id=attempt)
            message = messages.ExecuteMessage(start=start)
            await stream.send_message(message, end=number == len(attempts) - 1)
        async for frame in stream:
            frames.append((frame.attempt_id, frame.offset))
    return frames


async def run_attempt(client):
    async with aclosing(
        client.execute(messages.ExecuteStart(attempt_id="a1"))
    ) as frames:
        async for _ in frames:
            pass


async def make_all_calls(client):
    """Return the outcome of each kind of call to a sidecar."""
    outcomes = []
    seal = messages.SealRequest(grant_ids=["g1"])
    calls = [
        lambda: run_attempt(client),
        lambda: client.seal(seal, 2),
        lambda: client.cancel(messages.CancelRequest(attempt_id="a1"), 2),
        lambda: client.heartbeat(messages.HeartbeatRequest(), 2),
        lambda: client.claim(messages.ClaimRequest(), 2),
        lambda: client.configuration(messages.ConfigRequest(), 2),
    ]
    for call in calls:
        try:
            with anyio.fail_after(5):
                await call()
            outcomes.append("answered")
        except PeerError as error:
            outcomes.append(type(error))
    return outcomes


class PeerSecurityTests(unittest.TestCase):
    def attempt(self, server_security, security):
        """Return the outcomes of all calls, and the calls that reached the sidecar."""
        sidecar = RecordingSidecar()

        async def main():
            async with serving(sidecar, server_security) as port:
                client = SidecarClient("127.0.0.1", port, security, sender="router-1")
                try:
                    return await make_all_calls(client)
                finally:
                    client.close()

        return anyio.run(main), sidecar.calls

    def test_fleet_members_are_accepted(self):
        """Each kind of authentication accepts calls of the fleet's own processes."""
        for security in (PlainPeers(), KEY, certificates("fleet")):
            with self.subTest(type(security).__name__):
                outcomes, calls = self.attempt(security, security)
                self.assertEqual(outcomes, ["answered"] * 6)
                self.assertEqual(len(calls), 6)

    def test_calls_without_a_key_are_refused(self):
        """A third party in the network finds a sidecar's port. If its calls were
        accepted, it could spend any budget and seal any grant.
        """
        outcomes, calls = self.attempt(KEY, PlainPeers())
        self.assertEqual(outcomes, [NotDelivered] * 6)
        self.assertEqual(calls, [])

    def test_calls_with_another_key_are_refused(self):
        """A process of another fleet is configured with an address of this fleet by
        mistake. Its work would be billed to this fleet's accounts.
        """
        other = KeyedPeers((b"x" * 32,))
        outcomes, calls = self.attempt(KEY, other)
        self.assertEqual(outcomes, [NotDelivered] * 6)
        self.assertEqual(calls, [])

    def test_calls_without_a_fleet_certificate_are_refused(self):
        """A third party connects to a sidecar without a certificate, or with a
        certificate of another CA. No call may reach the sidecar.
        """
        fleet = certificates("fleet")
        stranger = certificates("stranger")
        stranger.client.verify_mode = 0
        for name, security in (("stranger", stranger), ("plain", PlainPeers())):
            with self.subTest(name):
                outcomes, calls = self.attempt(fleet, security)
                self.assertNotIn("answered", outcomes)
                self.assertEqual(calls, [])

    def test_client_refuses_a_server_of_another_ca(self):
        """A third party listens on a sidecar's former address. If the client sent its
        calls there, callers' requests would be disclosed, and forged refusals of
        seals would be accepted.
        """
        outcomes, calls = self.attempt(certificates("stranger"), certificates("fleet"))
        self.assertNotIn("answered", outcomes)
        self.assertEqual(calls, [])

    def test_keys_can_be_replaced_process_by_process(self):
        """While a key is being replaced, half of the fleet signs with the old key."""
        both = KeyedPeers((b"n" * 32, b"k" * 32))
        outcomes, _ = self.attempt(both, KEY)
        self.assertEqual(outcomes, ["answered"] * 6)

    def test_old_call_is_refused(self):
        """A recorded call is replayed an hour later and is refused as too old."""
        key = derive_call_key(KEY.keys[0], "/Seal", "router-1", 5_000, "n1")
        credentials = make_credentials(key, "router-1", 5_000, "n1")
        result = verify_credentials(
            KEY.keys, "/Seal", credentials, NonceCache(), 3_605.0
        )
        self.assertIsInstance(result, Refused)

    def test_lost_connection_leaves_no_pending_cancellation(self):
        """A sidecar dies during a call. A timeout scope that the task entered before
        the call expires later; it must cancel only the wait inside the scope.
        Otherwise the caller of the request gets no response at all.
        """

        sidecar = RecordingSidecar()
        sidecar.hang = True
        outcome = []

        async def serve(server_scope, *, task_status):
            with server_scope:
                await serve_peers(
                    [sidecar], "127.0.0.1", 0, KEY, task_status=task_status
                )

        async def cancel_after(server_scope, wait_s):
            await anyio.sleep(wait_s)
            server_scope.cancel()

        async def main():
            server_scope = anyio.CancelScope()
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(serve, server_scope)
                client = SidecarClient("127.0.0.1", port, KEY)
                tasks.start_soon(cancel_after, server_scope, 0.1)
                with anyio.move_on_after(0.4):
                    try:
                        await client.heartbeat(messages.HeartbeatRequest(), 5)
                    except PeerError as error:
                        outcome.append(type(error))
                    await anyio.sleep(5)
                outcome.append("went on")
                client.close()

        anyio.run(main)
        self.assertEqual(outcome, [OutcomeUnknown, "went on"])

    def test_late_heartbeat_reply_is_not_taken_for_the_next_one(self):
        """A paused sidecar replies to a heartbeat after its timeout. If the reply were
        taken for the reply to the next heartbeat, all later replies would be one
        heartbeat old, and a drain would be detected one interval late.
        """
        sidecar = RecordingSidecar()
        sidecar.delays_s = [0.2, 0.2]

        async def send_heartbeat(client, revision, timeout_s):
            header = messages.Header(config_revision=revision)
            request = messages.HeartbeatRequest(header=header)
            reply = await client.heartbeat(request, timeout_s)
            return reply.header.config_revision

        async def main():
            async with serving(sidecar, KEY) as port:
                client = SidecarClient("127.0.0.1", port, KEY)
                with self.assertRaises(OutcomeUnknown):
                    await send_heartbeat(client, 1, 0.1)
                with anyio.move_on_after(0.1):
                    await send_heartbeat(client, 2, 5)
                await anyio.sleep(0.3)
                revisions = [
                    await send_heartbeat(client, number, 1) for number in (3, 4, 5)
                ]
                client.close()
                return revisions

        self.assertEqual(anyio.run(main), [3, 4, 5])

    def test_many_messages_in_one_call_keep_their_order(self):
        """Tags are numbered per direction, so long streams in both are accepted."""
        sidecar = RecordingSidecar()

        async def main():
            async with serving(sidecar, KEY) as port:
                channel = open_channel("127.0.0.1", port, KEY)
                try:
                    return await execute(SidecarStub(channel), ["a", "b", "c"])
                finally:
                    channel.close()

        frames = anyio.run(main)
        expected = [(name, offset) for name in "abc" for offset in range(3)]
        self.assertEqual(frames, expected)

    def test_replayed_call_is_refused(self):
        """A third party records a call, such as a seal, and replays it within the
        allowed clock difference.
        """
        key = derive_call_key(KEY.keys[0], "/Seal", "router-1", 5_000, "n1")
        credentials = make_credentials(key, "router-1", 5_000, "n1")
        nonces = NonceCache()
        first = verify_credentials(KEY.keys, "/Seal", credentials, nonces, 5.0)
        self.assertEqual(first, Done(key))
        again = verify_credentials(KEY.keys, "/Seal", credentials, nonces, 6.0)
        self.assertIsInstance(again, Refused)
        limit_s = 5.0 + MAX_CLOCK_SKEW_S
        late = verify_credentials(KEY.keys, "/Seal", credentials, nonces, limit_s)
        self.assertIsInstance(late, Refused)

    def test_credentials_are_valid_for_one_method(self):
        """Intercepted credentials of a heartbeat do not authenticate a seal call."""
        key = derive_call_key(KEY.keys[0], "/Heartbeat", "router-1", 5_000, "n1")
        credentials = make_credentials(key, "router-1", 5_000, "n1")
        result = verify_credentials(KEY.keys, "/Seal", credentials, NonceCache(), 5.0)
        self.assertIsInstance(result, Refused)

    def test_modified_repeated_and_reordered_messages_are_detected(self):
        """A third party in the network path modifies, repeats or reorders messages."""
        key = b"c" * 32
        sender = CallTags(key, b"c")
        first, second = sender.add(b"one"), sender.add(b"two")
        self.assertEqual(CallTags(key, b"c").remove(first), b"one")
        self.assertIsNone(CallTags(key, b"c").remove(second))
        self.assertIsNone(CallTags(key, b"s").remove(first))
        changed = first.replace(b"one", b"0ne")
        self.assertIsNone(CallTags(key, b"c").remove(changed))
        receiver = CallTags(key, b"c")
        receiver.remove(first)
        self.assertIsNone(receiver.remove(first))

    def test_short_and_missing_keys_are_settings_errors(self):
        """A daemon must not start with a key that could be guessed."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "key"
            with self.assertRaises(SettingsError):
                keyed_peers(path)
            path.write_text("short\n")
            with self.assertRaises(SettingsError):
                keyed_peers(path)
            path.write_text("n" * 40 + "\n" + "o" * 40 + "\n")
            self.assertEqual(len(keyed_peers(path).keys), 2)
