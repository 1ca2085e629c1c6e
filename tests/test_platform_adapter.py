"""Tests of the platform adapter, which decodes rows and header fields."""

from __future__ import annotations

import json
import unittest

from endivegw.allowances.witnesses import Statement
from endivegw.decisions import LocalLoad
from endivegw.gossip import (
    LoanRequest,
    LoanResponse,
    PeerEntry,
    PeerState,
    PeerTable,
    decode,
    encode,
)
from endivegw.gossip.messages import (
    Acknowledgement,
    Limits,
    StatementRequest,
    StatementResponse,
)
from endivegw.platform.configuration import (
    DecodeError,
    decode_configuration,
    decode_target,
)
from endivegw.platform.wire import PlatformWire
from endivegw.relay.wire import CallerMetadata, SendMetadata
from endivegw.results import Reason, Refused
from endivegw.routing import RouteKind, ServiceKind
from endivegw.types import ClientAccountName, InstanceId, TargetName, TransferId
from endivegw_standins.platform_target import TARGET_ENTRY

CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r",
            "Host": "H.example",
            "Prefix": "/p/",
            "Kind": "streaming",
            "TimeoutMs": 15000,
            "TargetLatencyMs": 400,
            "Priority": 0,
            "TrafficSplit": [
                {"Service": "a", "Weight": 90},
                {"Service": "b", "Weight": 0},
            ],
            "MaxAttempts": 2,
            "Resumable": True,
            "GapTargetMs": 300,
        }
    ],
    "Services": [{"Name": "a", "Engine": {"Stride": 4}}, {"Name": "b"}],
    "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 2500},
    "Tenants": [{"Name": "t", "ApiKeys": ["k"], "Priority": 1, "Prepaid": 99}],
}


class ConfigurationTests(unittest.TestCase):
    """Decode the operator's configuration and target entries."""

    def test_everything_is_decoded(self) -> None:
        """Times are converted to seconds, kinds and traffic splits to types."""
        found = decode_configuration(json.dumps(CONFIGURATION).encode())
        route = found.routes[0]
        self.assertEqual((found.version, route.host), (7, "h.example"))
        self.assertIs(route.kind, RouteKind.RESUMABLE_STREAM)
        self.assertEqual([share.service for share in route.services], ["a"])
        self.assertEqual((route.timeout_s, route.objective_s), (15.0, 0.4))
        self.assertEqual(
            found.services, {"a": ServiceKind.ENGINE, "b": ServiceKind.PLAIN}
        )
        self.assertEqual(found.accounts[0].prepaid_tokens, 99)
        self.assertEqual(found.limits.idle_timeout_s, 2.5)
        self.assertEqual(found.tokens_per_event, 4)

    def test_a_malformed_row_is_refused_with_a_reason(self) -> None:
        """A malformed row must raise, so that the last valid state stays active."""
        bad_route = {**CONFIGURATION, "Routes": [{"Name": "r"}]}
        for value in (b"", b"{}", b"[]", b"null", json.dumps(bad_route).encode()):
            with self.assertRaises(DecodeError):
                decode_configuration(value)
        with self.assertRaises(DecodeError):
            decode_target("i", b'{"Service": "a"}')

    def test_a_draining_target_is_leaving(self) -> None:
        """A draining target must get no new work."""
        entry = {
            **TARGET_ENTRY,
            "Service": "a",
            "Address": "1.2.3.4:5",
            "Zone": "z",
        }
        for state, leaving in (("ready", False), ("draining", True)):
            value = json.dumps({**entry, "State": state}).encode()
            self.assertIs(decode_target("i-1", value).leaving, leaving)


class WireTests(unittest.TestCase):
    """Read and write header fields."""

    def test_reserved_fields_of_callers_are_not_forwarded(self) -> None:
        """Callers could impersonate other accounts, hold memory or bypass the queue."""
        sent = PlatformWire().write_target_fields(
            [
                (b"authorization", b"Bearer k"),
                (b"endivegw-tenant", b"other"),
                (b"endivegw-hold", b"1"),
                (b"endivegw-pin-ms", b"1"),
                (b"kv-from", b"x"),
                (b"kv-fetch", b"x"),
                (b"endivegw-kv-backup", b"x"),
                (b"endivegw-request-priority", b"0"),
                (b"endivegw-expect-instance", b"x"),
                (b"endivegw-deadline-ms", b"90000"),
                (b"endivegw-attempt-id", b"abc"),
                (b"x-own", b"1"),
            ],
            SendMetadata(InstanceId("i"), ClientAccountName("t"), 1.5),
        )
        self.assertEqual(
            sorted(sent),
            [
                (b"endivegw-attempt-id", b"abc"),
                (b"endivegw-deadline-ms", b"1500"),
                (b"endivegw-expect-instance", b"i"),
                (b"endivegw-tenant", b"t"),
                (b"x-own", b"1"),
            ],
        )

    def test_callers_fields(self) -> None:
        """Counts, parts and deadline are read; malformed ones are refused."""
        wire = PlatformWire()
        metadata = wire.read_caller_fields(
            [
                (b"endivegw-token-counts", b"1460,80"),
                (b"endivegw-prompt-prefix", b"5c:800,91:660"),
                (b"endivegw-deadline-ms", b"5000"),
                (b"authorization", b"Bearer k"),
            ]
        )
        assert isinstance(metadata, CallerMetadata)
        self.assertEqual(
            (metadata.prompt_tokens, metadata.max_output_tokens), (1460, 80)
        )
        self.assertEqual((metadata.deadline_s, metadata.key), (5.0, "k"))
        self.assertEqual([part.tokens for part in metadata.parts], [800, 660])
        for field in (
            (b"endivegw-token-counts", b"x,1"),
            (b"endivegw-token-counts", b"-5,1"),
            (b"endivegw-prompt-prefix", b"5c"),
            (b"endivegw-deadline-ms", b"soon"),
        ):
            self.assertIsInstance(wire.read_caller_fields([field]), Refused, field)

    # Guards against numbers that no float holds, which ended requests without a reason.
    def test_numbers_out_of_range_are_refused(self) -> None:
        number = b"9" * 400
        for name, value in (
            (b"endivegw-deadline-ms", number),
            (b"endivegw-token-counts", number + b",1"),
            (b"endivegw-token-counts", b"1," + number),
            (b"endivegw-prompt-prefix", b"p:" + number),
            (b"last-event-id", number),
        ):
            with self.subTest(name):
                read = PlatformWire().read_caller_fields([(name, value)])
                assert isinstance(read, Refused)
                self.assertIs(read.reason, Reason.BAD_REQUEST)


class DatagramTests(unittest.TestCase):
    """Encode and decode the datagrams between routers."""

    def test_each_message_is_decoded_unchanged(self) -> None:
        """Each message survives a round trip; malformed datagrams are ignored."""
        name = InstanceId("a")
        account = ClientAccountName("t")
        for message in (
            PeerState(name, 3, {account: 5}, {TargetName("i"): LocalLoad(2, 9)}),
            Limits(name, Statement(4, 9.0, {account: 5}, True)),
            Acknowledgement(name, 7),
            StatementRequest(name, InstanceId("b")),
            StatementResponse(name, InstanceId("b"), Statement(0, 0.0)),
            LoanRequest(name, TransferId("x"), account, 5, 9),
            LoanResponse(name, TransferId("x"), 5, 1),
        ):
            self.assertEqual(decode(encode(message)), message)
        for noise in (b"", b"[]", b"{}", b'["state","a"]', b"\xff\xfe", b'["ask",1,2]'):
            self.assertIsNone(decode(noise))

    def test_a_long_prompt_is_covered_by_several_routers_at_once(self) -> None:
        """Thirty routers hold 3,000 tokens each, and a prompt lacks 20,000.

        Sequential loan requests would take longer than the prompt can wait. If one
        router has enough tokens, no other router is asked.
        """
        peers = PeerTable("vm-0")
        account = ClientAccountName("hotel")
        for number in range(1, 30):
            name = InstanceId(f"i-{number}")
            peers.put(PeerEntry(f"vm-{number}", name, "10.0.0.1", 7000))
            peers.receive_state(PeerState(name, 1, {account: 3000}), 1.0)
        portions = peers.portions(account, 20_000, 1.1)
        self.assertEqual(len(portions), 7)
        self.assertEqual(sum(tokens for _, tokens in portions), 20_000)
        self.assertLessEqual(max(tokens for _, tokens in portions), 3000)
        self.assertEqual(len(peers.portions(account, 2000, 1.1)), 1)
        self.assertEqual(peers.portions(account, 2000, 9.0), [])

    def test_an_unresponsive_router_is_not_asked(self) -> None:
        """The last state of an unresponsive router no longer counts as lendable."""
        peers = PeerTable("own")
        entry = PeerEntry("v", InstanceId("a"), "10.0.0.1", 7)
        peers.put(entry)
        peers.receive_state(
            PeerState(InstanceId("a"), 1, {ClientAccountName("t"): 5}), 10.0
        )
        self.assertEqual(peers.lenders(ClientAccountName("t"), 10.5), [entry])
        self.assertEqual(peers.lenders(ClientAccountName("t"), 11.5), [])
        self.assertFalse(peers.all_responsive(11.5))
