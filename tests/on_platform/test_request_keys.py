"""Which attempts are the same request."""

import unittest

from on_platform.test_formats import headers
from passlane.decisions.failure.request_identity import request_key
from passlane.platform.request_format import parse_call


def key_of(*, target="/a/b?c=d", body=b"body", host="10.8.0.1", tenant="t", now=10.0, **changes):
    call = parse_call("POST", target, headers(**changes), body, now, host)
    return request_key(call, tenant)


OUTSIDE_PROGRAMS = {
    "x_passlane_program_id": None,
    "x_passlane_session_id": None,
    "x_passlane_program_deadline_ms": None,
    "x_passlane_previous_turn": None,
    "x_passlane_token_budget": None,
}


class SameRequestTest(unittest.TestCase):
    def test_what_differs_between_attempts_does_not_count(self):
        self.assertEqual(
            key_of(),
            key_of(
                now=99.0,
                host="10.8.0.2",
                x_passlane_attempt_id="other",
                x_passlane_deadline_ms="17",
                x_passlane_program_deadline_ms="18",
                last_event_id="3",
                resumes="9c41",
                user_agent="another",
            ),
        )

    def test_outside_programs_the_callers_host_tells_callers_apart(self):
        first = key_of(**OUTSIDE_PROGRAMS)
        self.assertEqual(first, key_of(x_passlane_attempt_id="other", **OUTSIDE_PROGRAMS))
        self.assertNotEqual(first, key_of(host="10.8.0.2", **OUTSIDE_PROGRAMS))


class OtherRequestTest(unittest.TestCase):
    def test_another_caller_sends_another_request(self):
        for changes in (
            {"tenant": "u"},
            {"x_passlane_program_id": "other"},
            {"x_passlane_session_id": "other"},
            {"cookie": "user=other"},
            {"authorization": "other"},
        ):
            with self.subTest(changes=changes):
                self.assertNotEqual(key_of(), key_of(**changes))

    def test_other_content_is_another_request(self):
        for changes in (
            {"target": "/a/b?c=e"},
            {"body": b"bodies"},
            {"x_passlane_previous_turn": "41"},
            {"x_passlane_previous_turn": None},
            {"x_passlane_model": "m"},
            {"x_passlane_affinity_key": "k"},
        ):
            with self.subTest(changes=changes):
                self.assertNotEqual(key_of(), key_of(**changes))

    def test_parts_cannot_be_moved_from_one_field_to_another(self):
        one = key_of(x_passlane_program_id="ab", x_passlane_session_id="c")
        other = key_of(x_passlane_program_id="a", x_passlane_session_id="bc")
        self.assertNotEqual(one, other)


if __name__ == "__main__":
    unittest.main()
