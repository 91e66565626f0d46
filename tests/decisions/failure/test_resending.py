"""Whether a request is sent to another back end after a failed attempt."""

import unittest

import msgspec

from passlane.decisions.failure.resending import (
    RetryDecision,
    decide_after_failure,
    leaves_silent_backend,
    may_run_again,
)
from passlane.messages.routes import RouteKind
from routes.test_checks import route

TWICE = route(kind=RouteKind.REPEATABLE, max_attempts=2)
ONCE = msgspec.structs.replace(TWICE, kind=RouteKind.AT_MOST_ONCE)


def after(route, runs_before, *, bytes_left=True, is_answer_final=False):
    return decide_after_failure(
        route, runs_before, bytes_left=bytes_left, is_answer_final=is_answer_final
    )


class FailedAttemptTest(unittest.TestCase):
    def test_an_attempt_without_a_byte_sent_is_not_counted(self):
        for each in (TWICE, ONCE):
            self.assertIs(after(each, 5, bytes_left=False), RetryDecision.NOT_SENT)

    def test_a_repeatable_request_runs_up_to_the_attempts_of_its_route(self):
        self.assertIs(after(TWICE, 0), RetryDecision.SEND_AGAIN)
        self.assertIs(after(TWICE, 1), RetryDecision.FAIL)

    def test_other_requests_run_once(self):
        self.assertFalse(may_run_again(ONCE, 0))
        self.assertIs(after(ONCE, 0), RetryDecision.FAIL)

    def test_a_request_with_a_final_answer_is_not_sent_again(self):
        self.assertIs(after(TWICE, 0, is_answer_final=True), RetryDecision.FAIL)


class SilentBackendTest(unittest.TestCase):
    def test_a_silent_back_end_is_abandoned_while_attempts_remain(self):
        self.assertTrue(leaves_silent_backend(TWICE, 0))
        self.assertFalse(leaves_silent_backend(TWICE, 1))

    def test_streams_and_requests_that_run_once_keep_a_silent_back_end(self):
        stream = msgspec.structs.replace(TWICE, kind=RouteKind.STREAM, is_resumable=True)
        self.assertTrue(may_run_again(stream, 1))
        self.assertFalse(leaves_silent_backend(stream, 0))
        self.assertFalse(leaves_silent_backend(ONCE, 0))
