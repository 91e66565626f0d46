"""Conversion of the platform's requests, configurations and answers to passlane's types."""

import copy
import json
import math
import unittest

import msgspec

from passlane.decisions.failure.answer_verdicts import Judgement, judge_answer
from passlane.decisions.inputs.answer_head import BodyFraming, Refusal
from passlane.decisions.inputs.relayed_call import Header, PromptPart, RelayedCall
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.placement import TurnDemand
from passlane.messages.routes import (
    ReplaceConfiguration,
    Route,
    RoutedService,
    RouteKind,
    ServiceShare,
    Tenant,
)
from passlane.messages.turns import ReserveTurn
from passlane.platform.configuration_format import (
    MAX_REASON_CHARACTERS,
    encode_configuration,
    parse_configuration,
)
from passlane.platform.engine_client import EngineAnswer
from passlane.platform.request_format import parse_call
from passlane.routes.checks import check_configuration
from passlane.routes.tenants import digest_of_key

TURN_HEADERS = {
    "host": "one.example",
    "x-passlane-attempt-id": "9c41",
    "x-passlane-program-id": "3fa8",
    "x-passlane-session-id": "77d2",
    "x-passlane-program-deadline-ms": "5200",
    "x-passlane-token-budget": "2304",
    "x-passlane-token-usage": "1840,288",
    "x-passlane-previous-turn": "40c8",
    "x-passlane-deadline-ms": "4000",
    "x-passlane-prompt-prefix": "5c1e:800,91bd:410",
    "connection": "keep-alive, X-Hop",
    "x-hop": "1",
    "x-own": "2",
}


def headers(**changes):
    values = TURN_HEADERS | {name.replace("_", "-"): value for name, value in changes.items()}
    return [Header(name, value) for name, value in values.items() if value is not None]


class RequestFormatTest(unittest.TestCase):
    def parse(self, **changes):
        return parse_call("POST", "/a/b?c=d", headers(**changes), b"body", 10.0)

    def test_a_turn_request(self):
        call = self.parse()
        self.assertEqual((call.request_id, call.path, call.host), ("9c41", "/a/b", "one.example"))
        self.assertEqual(call.deadline_at, 14.0)
        self.assertEqual((call.program.program_id, call.program.budget_tokens), ("3fa8", 2304))
        self.assertEqual((call.most_tokens, call.previous_turn), (288, "40c8"))
        self.assertEqual(call.prompt_parts, (PromptPart("5c1e", 800), PromptPart("91bd", 410)))

    def test_a_request_that_resumes_a_stream(self):
        call = self.parse(last_event_id="7", resumes="48ee")
        self.assertEqual((call.last_event_id, call.resumes), ("7", "48ee"))
        self.assertIsNone(self.parse().resumes)

    def test_headers_of_a_single_connection_are_not_forwarded(self):
        names = {header.name for header in self.parse().headers}
        self.assertFalse(names & {"connection", "x-hop", "host"})
        self.assertIn("x-own", names)

    def test_reserved_headers_of_clients_are_dropped(self):
        forged = {
            "x_passlane_tenant": "other",
            "x_passlane_hold": "h1",
            "x_passlane_pin_ms": "4000",
            "x_passlane_kv_backup": "10.0.0.1:80",
            "kv_from": "10.0.0.1:80/9c41",
            "kv_fetch": "10.0.0.1:80",
            "x_passlane_target_instance": "i-1",
            "x_passlane_request_priority": "0",
            "x_passlane_expect_version": "2",
        }
        call = self.parse(**forged)
        names = {header.name for header in call.headers}
        forged_names = {name.replace("_", "-") for name in forged}
        self.assertFalse(names & forged_names)
        self.assertEqual(set(call.dropped_headers), forged_names)

    def test_a_valid_request_has_no_dropped_headers(self):
        self.assertEqual(self.parse().dropped_headers, ())

    def test_only_the_digest_of_a_key_is_retained(self):
        call = self.parse(x_api_key="key-1", connection="X-Api-Key")
        self.assertEqual(call.key_digests, (digest_of_key("key-1"),))
        self.assertNotIn("key-1", repr(call))

    def test_each_key_of_a_request_has_a_digest(self):
        twice = [*headers(), Header("x-api-key", "key-1"), Header("x-api-key", "key-1")]
        call = parse_call("POST", "/a", twice, b"", 10.0)
        self.assertEqual(len(call.key_digests), 2)
        self.assertNotIn("x-api-key", {header.name for header in call.headers})

    def test_missing_or_malformed_headers_are_refused(self):
        for changes in (
            {"x_passlane_attempt_id": None},
            {"x_passlane_deadline_ms": "soon"},
            {"x_passlane_deadline_ms": "nan"},
            {"x_passlane_program_deadline_ms": "inf"},
            {"x_passlane_token_usage": "1840"},
            {"x_passlane_token_budget": "-1"},
            {"x_passlane_prompt_prefix": "5c1e"},
        ):
            with self.subTest(changes), self.assertRaises(PasslaneError) as caught:
                self.parse(**changes)
            self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)

    def test_numbers_beyond_their_bounds_are_refused(self):
        for name, form in (
            ("x_passlane_token_budget", "{}"),
            ("x_passlane_token_usage", "1840,{}"),
            ("x_passlane_prompt_prefix", "5c1e:800,91bd:{}"),
        ):
            for text in (
                str(2**64),
                "9" * 400,
                "9" * 5_000,
                "-1",
                "1e999",
                "nan",
                "\xb2",
                "\u0663",
            ):
                with self.subTest(name=name, text=text[:24]):
                    with self.assertRaises(PasslaneError) as caught:
                        self.parse(**{name: form.format(text)})
                    self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)
                    self.assertLess(len(caught.exception.message), 200)

    def test_parts_of_a_prompt_are_refused_whose_sum_is_beyond_the_bound(self):
        self.parse(x_passlane_prompt_prefix=f"a:{2**53 - 2},b:1")
        with self.assertRaises(PasslaneError) as caught:
            self.parse(x_passlane_prompt_prefix=f"a:{2**53 - 1},b:1")
        self.assertIs(caught.exception.code, ErrorCode.BAD_REQUEST)

    def test_numbers_up_to_their_bounds_can_be_sent_to_all_processes(self):
        call = self.parse(
            x_passlane_token_budget=str(2**63 - 1),
            x_passlane_token_usage=f"1840, {2**53 - 1} ",
            x_passlane_prompt_prefix=f"5c1e:{'0' * 5_000}{2**53 - 1}",
        )
        reserve = ReserveTurn(
            program_id="p",
            attempt_id="a",
            most_tokens=call.most_tokens,
            budget_tokens=call.program.budget_tokens,
            demand=TurnDemand(
                service="s", route="r", urgency=0, zone="a",
                prompt_tokens=sum(part.tokens for part in call.prompt_parts),
            ),
        )  # fmt: skip
        self.assertEqual(message_decoder(ReserveTurn).decode(encode_message(reserve)), reserve)

    def test_times_are_served_that_are_far_away(self):
        for text in (str(2**64), "1e300", "1" + "0" * 300):
            with self.subTest(text[:24]):
                call = self.parse(x_passlane_deadline_ms=text, x_passlane_program_deadline_ms=text)
                self.assertTrue(1e15 < call.deadline_at < math.inf)
                self.assertTrue(1e15 < call.program.deadline_at < math.inf)


DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path_prefix": "/p/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 250,
            "priority": 1,
            "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "max_attempts": 1,
            "retained": True,
            "retention_s": 60.0,
            "resumable": False,
            "target_gap_ms": 200,
            "unknown_field": 1,
        },
        {
            "name": "q",
            "host": "h",
            "path_prefix": "/q/",
            "kind": "safe",
            "timeout_ms": 100,
            "service": "b",
        },
    ],
    "services": [
        {
            "name": "a",
            "health_path": "/",
            "max_conns": 5,
            "engine": {"slots": 12, "chunk_tokens": 9},
        },
        {"name": "b", "health_path": "/", "max_conns": 5},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


ROUTE = ("routes", 0)
SERVICE = ("services", 0)
TENANT = ("tenants", 0)
COMPARED = (
    ("version",),
    (*ROUTE, "priority"),
    (*ROUTE, "max_attempts"),
    (*SERVICE, "max_conns"),
    (*SERVICE, "engine", "slots"),
    (*SERVICE, "engine", "kv_capacity"),
    ("limits", "max_header_bytes"),
    ("limits", "max_body_bytes"),
)
ADDED_UP = (
    (*ROUTE, "traffic_split", 0, "weight"),
    (*SERVICE, "engine", "chunk_tokens"),
    (*TENANT, "priority"),
)
AMOUNTS = (
    (*ROUTE, "timeout_ms"),
    (*ROUTE, "target_latency_ms"),
    (*ROUTE, "target_gap_ms"),
    (*ROUTE, "retention_s"),
    ("limits", "header_timeout_ms"),
    ("limits", "idle_timeout_ms"),
    (*TENANT, "rate_per_s"),
    (*TENANT, "burst"),
)


class ConfigurationFormatTest(unittest.TestCase):
    def test_a_document_is_parsed(self):
        source = msgspec.json.encode(DOCUMENT)
        parsed = parse_configuration(source)
        first, second = parsed.routes
        self.assertEqual((parsed.version, parsed.source), (7, source))
        self.assertEqual((first.kind, first.timeout_s), (RouteKind.STREAM, 4.0))
        self.assertEqual(first.shares, (ServiceShare("a", 90), ServiceShare("b", 10)))
        self.assertTrue(first.keeps_turns)
        self.assertEqual(second.shares, (ServiceShare("b", 1),))
        self.assertEqual(parsed.services[0].tokens_per_event, 9)
        self.assertEqual(parsed.limits.idle_timeout_s, 15.0)

    def test_an_encoded_document_is_parsed_back(self):
        engine = RoutedService(
            name="engines", health_path="/h", max_connections=4, slots=2, tokens_per_event=9,
            memory_tokens=1_000,
        )  # fmt: skip
        route = Route(
            name="r", host="one.example", path_prefix="/r/", kind=RouteKind.STREAM, timeout_s=4.0,
            target_latency_s=0.3, priority=1, shares=(ServiceShare("engines", 1),),
            max_attempts=2, keeps_turns=True, retention_s=60.0, target_gap_s=0.2,
            is_resumable=True, is_public=True, is_sticky=True,
        )  # fmt: skip
        tenant = Tenant(name="t", priority=2, rate_per_s=4.0, burst=5.0)
        parsed_document = parse_configuration(msgspec.json.encode(DOCUMENT))
        edited = msgspec.structs.replace(
            parsed_document, routes=(route,), services=(engine,), tenants=(tenant,)
        )
        read = parse_configuration(encode_configuration(edited, {"t": ("key",)}))
        self.assertEqual((read.version, read.routes, read.services), (7, (route,), (engine,)))
        with_key = msgspec.structs.replace(tenant, key_digests=(digest_of_key("key"),))
        self.assertEqual(read.tenants, (with_key,))

    def test_an_incomplete_document_is_invalid(self):
        source = msgspec.json.encode(DOCUMENT)
        without_routes = {k: v for k, v in DOCUMENT.items() if k != "routes"}
        for broken in (source[:-20], b"", b"[]", msgspec.json.encode(without_routes)):
            with self.subTest(broken), self.assertRaises(PasslaneError) as caught:
                parse_configuration(broken)
            self.assertIs(caught.exception.code, ErrorCode.INVALID_DOCUMENT)

    def parse_with(self, place, text):
        """Parse the document in which the value at ``place`` is ``text``, as written."""
        document = copy.deepcopy(DOCUMENT | {"tenants": [{"name": "t"}]})
        owner = document
        for step in place[:-1]:
            owner = owner[step]
        owner[place[-1]] = "@odd@"
        return parse_configuration(json.dumps(document).replace('"@odd@"', text).encode())

    def assert_refused(self, place, text):
        with self.subTest(place=place, text=text[:24]):
            with self.assertRaises(PasslaneError) as caught:
                self.parse_with(place, text)
            self.assertIs(caught.exception.code, ErrorCode.INVALID_DOCUMENT)
            self.assertLessEqual(len(caught.exception.message), MAX_REASON_CHARACTERS)

    def test_numbers_up_to_their_bounds_can_be_sent_to_all_processes(self):
        largest = {COMPARED: 2**63 - 1, ADDED_UP: 2**53 - 1, AMOUNTS: 2**63}
        for places, number in largest.items():
            for place in places:
                with self.subTest(place=place):
                    parsed = self.parse_with(place, str(number))
                    check_configuration(parsed)
                    command = ReplaceConfiguration(configuration=parsed)
                    decoder = message_decoder(ReplaceConfiguration)
                    self.assertEqual(decoder.decode(encode_message(command)), command)

    def test_numbers_beyond_their_bounds_are_refused(self):
        beyond = {COMPARED: 2**63, ADDED_UP: 2**53, AMOUNTS: 2**64}
        for places, number in beyond.items():
            for place in places:
                for text in (str(number), str(2**64), "9" * 400, "9" * 5_000, "1e999", "NaN"):
                    self.assert_refused(place, text)
                for text in (str(-(2**63) - 1), "-" + "9" * 400):
                    self.assert_refused(place, text)
        for place in (*ADDED_UP, (*TENANT, "rate_per_s"), (*TENANT, "burst")):
            self.assert_refused(place, "-1")

    def test_negative_numbers_that_the_pages_call_valid_are_parsed(self):
        for place in (*COMPARED, *AMOUNTS[:-2]):
            with self.subTest(place=place):
                command = ReplaceConfiguration(configuration=self.parse_with(place, "-1"))
                decoder = message_decoder(ReplaceConfiguration)
                self.assertEqual(decoder.decode(encode_message(command)), command)

    def test_what_no_process_reads_whole_is_refused(self):
        for text in ("[" * 3_000 + "]" * 3_000, "[" * 100_000, r'"\ud800"'):
            for place in (("unread",), ("routes", 0, "unread"), ("routes", 0, "name")):
                self.assert_refused(place, text)
        self.assert_refused(("routes", 0, "kind"), json.dumps("n" * 300_000))

    def test_bytes_that_are_no_text_are_refused(self):
        for text in (b"\xff", b"\xed\xa0\x80"):
            source = json.dumps(DOCUMENT | {"unread": "@odd@"}).encode().replace(b"@odd@", text)
            with self.subTest(text), self.assertRaises(PasslaneError) as caught:
                parse_configuration(source)
            self.assertIs(caught.exception.code, ErrorCode.INVALID_DOCUMENT)

    def test_long_names_and_unread_numbers_are_parsed(self):
        name = "n" * 300_000
        self.assertEqual(
            self.parse_with(("services", 0, "name"), f'"{name}"').services[0].name, name
        )
        self.parse_with(("unread",), "9" * 5_000)

    def test_tenants_are_parsed(self):
        tenants = [
            {
                "name": "corner",
                "api_keys": ["key-1", "key-2"],
                "priority": 0,
                "rate_per_s": 8,
                "burst": 4.5,
            },
            {"name": "free", "api_keys": []},
        ]
        corner, free = self.parse_with_tenants(tenants).tenants
        self.assertEqual(corner.key_digests, (digest_of_key("key-1"), digest_of_key("key-2")))
        self.assertEqual((corner.priority, corner.rate_per_s, corner.burst), (0, 8.0, 4.5))
        self.assertEqual((free.priority, free.is_limited, free.key_digests), (None, False, ()))

    def test_invalid_tenants_are_refused_without_revealing_keys(self):
        for broken in (
            [{"name": "corner", "api_keys": ["secret", ""]}],
            [{"name": "corner", "api_keys": ["secret", 5]}],
            [{"name": "corner", "api_keys": "secret"}],
            [{"api_keys": ["secret"]}],
            [{"name": "corner", "rate_per_s": "8"}],
            "corner",
        ):
            with self.subTest(broken), self.assertRaises(PasslaneError) as caught:
                self.parse_with_tenants(broken)
            self.assertIs(caught.exception.code, ErrorCode.INVALID_DOCUMENT)
            self.assertNotIn("secret", str(caught.exception))

    def test_public_and_sticky_routes(self):
        first, second = DOCUMENT["routes"]
        source = DOCUMENT | {"routes": [first | {"public": True, "sticky": True}, second]}
        open_route, other = parse_configuration(msgspec.json.encode(source)).routes
        self.assertEqual((open_route.is_public, open_route.is_sticky), (True, True))
        self.assertEqual((other.is_public, other.is_sticky), (False, False))

    @staticmethod
    def parse_with_tenants(tenants):
        return parse_configuration(msgspec.json.encode(DOCUMENT | {"tenants": tenants}))


class FakeResponse:
    def __init__(self, status, **headers):
        self.status = status
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}


def head_of(status, *, method="POST", **headers):
    own_call = RelayedCall(
        request_id="own",
        method=method,
        host="one.example",
        target="/x",
        headers=(),
        body=b"",
        arrived_at=0.0,
        deadline_at=1.0,
    )
    return EngineAnswer(FakeResponse(status, **headers), own_call).head


class EngineAnswerTest(unittest.TestCase):
    def test_the_framing_tells_what_ends_the_body(self):
        self.assertIs(head_of(200, content_length="5").framing, BodyFraming.LENGTH)
        self.assertIs(head_of(200, transfer_encoding="chunked").framing, BodyFraming.CHUNKS)
        self.assertIs(head_of(200).framing, BodyFraming.CONNECTION)

    def test_an_answer_that_has_no_body_does_not_end_with_its_connection(self):
        for answer_head in (head_of(204), head_of(304), head_of(200, method="HEAD")):
            self.assertIs(answer_head.framing, BodyFraming.LENGTH)

    def test_the_media_type_has_no_parameters(self):
        for declared in ("text/event-stream", "Text/Event-Stream; charset=utf-8"):
            self.assertEqual(head_of(200, content_type=declared).media_type, "text/event-stream")
        self.assertEqual(head_of(200).media_type, "")

    def test_a_success_needs_the_signature_the_request_id_and_no_encoding(self):
        marks = {"x_passlane_attempt_id": "own", "x_passlane_response_signature": "s"}
        self.assertTrue(head_of(200, **marks).is_authentic)
        self.assertFalse(head_of(200, x_passlane_attempt_id="own").is_authentic)
        self.assertFalse(head_of(200, **(marks | {"x_passlane_attempt_id": "x"})).is_authentic)
        self.assertFalse(head_of(200, **marks, content_encoding="gzip").is_authentic)

    def test_a_refusal_counts_only_with_the_id_of_the_request(self):
        own = {"x_passlane_attempt_id": "own"}
        full = head_of(503, x_passlane_not_executed="1", **own)
        self.assertIs(full.refusal, Refusal.NOT_EXECUTED)
        self.assertIs(head_of(421, **own).refusal, Refusal.WRONG_INSTANCE)
        foreign = head_of(503, x_passlane_not_executed="1", x_passlane_attempt_id="other")
        self.assertIsNone(foreign.refusal)
        self.assertFalse(foreign.is_authentic)
        self.assertIsNone(head_of(503, **own).refusal)

    def test_an_answer_without_an_id_is_not_trusted(self):
        marks = {"x_passlane_response_signature": "s"}
        for status in (200, 400, 408, 421, 429, 500, 503):
            head = head_of(status, x_passlane_not_executed="1", **marks)
            self.assertIsNone(head.refusal)
            self.assertIs(judge_answer(head), Judgement.UNTRUSTED)

    def test_an_answer_with_two_ids_is_not_trusted(self):
        both = head_of(503, x_passlane_not_executed="1", x_passlane_attempt_id="own, other")
        self.assertIs(judge_answer(both), Judgement.UNTRUSTED)

    def test_a_success_marked_as_not_executed_is_not_trusted(self):
        marks = {"x_passlane_attempt_id": "own", "x_passlane_response_signature": "s"}
        contradictory = head_of(200, x_passlane_not_executed="1", **marks)
        self.assertIs(judge_answer(contradictory), Judgement.UNTRUSTED)

    def test_connection_headers_are_removed_from_answers(self):
        head = head_of(200, content_length="5", connection="close", content_type="text/plain")
        self.assertEqual([header.name for header in head.headers], ["content-type"])
        self.assertEqual(head.length, 5)
