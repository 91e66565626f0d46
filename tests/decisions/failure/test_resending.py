"""Whether a request is sent once more."""

import unittest

import msgspec

from passlane.decisions.failure.resending import (
    AfterBreak,
    after_break,
    leaves_silent_backend,
    may_run_again,
)
from passlane.messages.routes import RouteKind
from routes.test_checks import route

TWICE = route(kind=RouteKind.REPEATABLE, max_attempts=2)
ONCE = msgspec.structs.replace(TWICE, kind=RouteKind.AT_MOST_ONCE)


def after(route, runs_before, *, bytes_left=True, is_answer_final=False):
    return after_break(route, runs_before, bytes_left=bytes_left, is_answer_final=is_answer_final)


class AfterBreakTest(unittest.TestCase):
    def test_without_a_byte_sent_nothing_is_counted(self):
        for each in (TWICE, ONCE):
            self.assertIs(after(each, 5, bytes_left=False), AfterBreak.NOT_SENT)

    def test_a_repeatable_request_runs_as_often_as_its_route_says(self):
        self.assertIs(after(TWICE, 0), AfterBreak.SEND_AGAIN)
        self.assertIs(after(TWICE, 1), AfterBreak.FAIL)

    def test_any_other_runs_once(self):
        self.assertFalse(may_run_again(ONCE, 0))
        self.assertIs(after(ONCE, 0), AfterBreak.FAIL)

    def test_an_answer_that_has_begun_is_not_begun_anew(self):
        self.assertIs(after(TWICE, 0, is_answer_final=True), AfterBreak.FAIL)


class SilenceTest(unittest.TestCase):
    def test_a_silent_back_end_is_left_while_another_may_run_it(self):
        self.assertTrue(leaves_silent_backend(TWICE, 0))
        self.assertFalse(leaves_silent_backend(TWICE, 1))

    def test_silence_is_borne_by_streams_and_by_what_runs_once(self):
        stream = msgspec.structs.replace(TWICE, kind=RouteKind.STREAM, is_resumable=True)
        self.assertTrue(may_run_again(stream, 1))
        self.assertFalse(leaves_silent_backend(stream, 0))
        self.assertFalse(leaves_silent_backend(ONCE, 0))
