"""Numbers of documents that are beyond what a process holds or sends."""

import unittest

from passlane.configuration.documents import DocumentKind
from passlane.configuration.parsing import encode_body, parse_body, parse_fields
from passlane.errors import ErrorCode, PasslaneError

TOOL = {"name": "t"}
APPLICATION = {"address": "127.0.0.1:1", "zone": "a", "tools": []}
ENGINE = {"address": "127.0.0.1:1", "zone": "a", "models": []}
TENANT = {"service": "s"}


def places(number):
    """Yield the bodies of documents with the number in each place that is added up."""
    yield DocumentKind.ENGINE, ENGINE | {"max_batch": number}
    yield DocumentKind.ENGINE, ENGINE | {"cache_tokens": number}
    yield DocumentKind.APPLICATION, APPLICATION | {"max_in_flight": number}
    yield DocumentKind.APPLICATION, APPLICATION | {"tools": [TOOL | {"price_micros": number}]}
    yield DocumentKind.TENANT, TENANT | {"max_programs": number}
    yield DocumentKind.TENANT, TENANT | {"max_calls_in_flight": number}
    yield DocumentKind.POLICY, {"source": "1", "max_steps": number}


def compared_places(number):
    """Yield the bodies of documents with the number in each place that is only compared."""
    for budget in ("default_budget", "max_budget"):
        for part in ("tokens", "calls", "money_micros"):
            yield DocumentKind.TENANT, TENANT | {budget: {part: number}}


def time_places(number):
    """Yield the bodies of documents with the number in each place of a time or a rate."""
    yield DocumentKind.TENANT, TENANT | {"calls_per_second": number}
    yield DocumentKind.APPLICATION, APPLICATION | {"tools": [TOOL | {"timeout_s": number}]}


class DocumentBoundsTest(unittest.TestCase):
    def assert_invalid(self, cases):
        for kind, fields in cases:
            with self.subTest(kind=kind, fields=str(fields)[:80]):
                with self.assertRaises(PasslaneError) as caught:
                    parse_fields(kind, fields)
                self.assertIs(caught.exception.code, ErrorCode.INVALID_DOCUMENT)

    def test_numbers_beyond_their_bounds(self):
        for number in (2**53, 2**64, 10**400, -1, -(2**63) - 1):
            self.assert_invalid(places(number))
        for number in (2**63, 2**64, 10**400, -1, -(2**63) - 1):
            self.assert_invalid(compared_places(number))
        for number in (2**64, float("inf"), float("nan"), -1):
            self.assert_invalid(time_places(number))

    def test_numbers_at_their_bounds_are_recorded_and_read(self):
        cases = [*places(2**53 - 1), *compared_places(2**63 - 1), *time_places(2**63)]
        for kind, fields in cases:
            with self.subTest(kind=kind, fields=fields):
                body = parse_fields(kind, fields)
                self.assertEqual(parse_body(kind, encode_body(body)), body)


if __name__ == "__main__":
    unittest.main()
