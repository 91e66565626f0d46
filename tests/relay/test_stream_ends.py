"""What a stream that ends inside an event, without an error of its connection, is taken for."""

from structlog.testing import capture_logs

from passlane.decisions.inputs.answer_head import BodyFraming
from passlane.messages.turns import TurnReserved
from relay.fakes import Reset, Script, ScriptedStore, Unreachable, head
from relay.test_service import EVENT_1, EVENT_2, STREAM, TURNS, RelayCase
from relay.test_turn_budget import BUDGET, EVENTS, MAX_TOKENS, TurnBudgetCase

CUT_EVENT = b"id: 2\ndata: tw"
CUT_STREAM = Script(head(), EVENT_1, CUT_EVENT)


def with_cr_lf(data):
    return data.replace(b"\n", b"\r\n")


class CutStreamTest(RelayCase):
    def test_a_stream_that_ends_inside_an_event_is_not_forwarded_as_complete(self):
        for last in (CUT_EVENT, b"id: 2\n", b"id: 2\ndata: two\n", b"d", with_cr_lf(CUT_EVENT)):
            self.relay([Script(head(), EVENT_1, last)], **STREAM)
            self.assertFalse(self.writer.is_finished, last)
            self.assertIsNotNone(self.error, last)
            self.assertEqual(self.writer.body, EVENT_1)

    def test_a_stream_that_ends_inside_its_first_event_is_not_forwarded_as_complete(self):
        self.relay([Script(head(), CUT_EVENT)], **STREAM)
        self.assertFalse(self.writer.is_finished)
        self.assertEqual(self.writer.body, b"")

    def test_blank_lines_and_a_comment_behind_the_last_event_are_no_unfinished_event(self):
        for last in (b"\n", b"\r\n\r\n", b": end\n"):
            self.relay([Script(head(), EVENT_1, last)], **STREAM)
            self.assertTrue(self.writer.is_finished, last)
            self.assertEqual(self.writer.body, EVENT_1 + last)

    def test_it_counts_as_a_failure_of_its_engine(self):
        self.relay([CUT_STREAM], **STREAM)
        loads = self.registry.of_service("models")
        (load,) = [one for one in loads if one.record.instance_id == self.backends.requested[0]]
        self.assertGreater(load.avoid_until, self.started_at)

    def test_its_turn_is_not_stored(self):
        store = ScriptedStore(TurnReserved(history=b"old"))
        self.relay([CUT_STREAM], call_changes={"budget": 100}, store=store, **TURNS)
        self.assertEqual([settlement.turn for settlement in store.settled], [None])
        self.assertEqual(len(store.settled[0].outcome.failed_at), 1)

    def test_it_goes_on_behind_its_last_whole_event(self):
        scripts = [CUT_STREAM, Script(head(), EVENT_2)]
        self.relay(scripts, **STREAM, is_resumable=True, max_attempts=2)
        self.assertEqual(self.writer.body, EVENT_1 + EVENT_2)
        self.assertTrue(self.writer.is_finished)
        self.assertEqual(self.backends.requests[1].last_event_id, "1")


class OtherBodyTest(RelayCase):
    def test_a_body_without_events_does_not_continue_a_stream(self):
        scripts = [
            Script(head(), EVENT_1, broken=True),
            Script(head(media_type="application/json"), b"{}"),
        ]
        self.relay(scripts, **STREAM, is_resumable=True, max_attempts=2)
        self.assertEqual(self.writer.body, EVENT_1)
        self.assertFalse(self.writer.is_finished)

    def test_a_body_without_events_that_begins_an_answer_is_judged_by_its_framing(self):
        for framing in BodyFraming:
            answer_head = head(media_type="application/json", framing=framing)
            self.relay([Script(answer_head, b"{}")], **STREAM)
            self.assertEqual((self.writer.body, self.writer.is_finished), (b"{}", True))


class CutTurnBudgetTest(TurnBudgetCase):
    def test_it_counts_all_tokens_that_it_may_have_generated(self):
        left = self.relay_turn([Script(head(), *EVENTS[:2], b"id: 3\nda")])
        self.assertEqual(left, BUDGET - MAX_TOKENS)


class LogTest(RelayCase):
    """The lines by which an operator finds why an answer broke off."""

    def lines(self, event, scripts, **changes):
        with capture_logs() as lines:
            self.relay(scripts, **(STREAM | changes))
        return [line for line in lines if line["event"] == event]

    def test_the_end_of_a_request_tells_framing_and_unfinished_bytes(self):
        for framing in BodyFraming:
            scripts = [Script(head(framing=framing), EVENT_1, CUT_EVENT)]
            (line,) = self.lines("request_ended", scripts)
            self.assertEqual(line["framing"], framing.value)
            self.assertEqual(line["unfinished_bytes"], len(CUT_EVENT))

    def test_each_attempt_that_breaks_off_tells_what_follows(self):
        scripts = [Unreachable(), Script(head(), EVENT_1, broken=True), Reset()]
        changes = {"is_resumable": True, "max_attempts": 2}
        lines = self.lines("attempt_broke_off", scripts, **changes)
        self.assertEqual(
            [(line["attempt"], line["may_have_run"], line["next_step"]) for line in lines],
            [(1, False, "not_sent"), (2, True, "send_again"), (3, True, "fail")],
        )


class CrLfTest(RelayCase):
    """Streams whose lines end with CR LF."""

    EVENTS = (with_cr_lf(EVENT_1), with_cr_lf(EVENT_2))

    def test_each_event_is_forwarded_as_it_arrives(self):
        self.relay([Script(head(), *self.EVENTS, delay_s=0.1)], **STREAM)
        self.assertEqual(self.writer.body, b"".join(self.EVENTS))
        self.assertTrue(self.writer.is_finished)
        self.assertAlmostEqual(self.writer.times[1] - self.writer.times[0], 0.1, places=3)

    def test_a_turn_is_stored_with_the_data_of_its_events(self):
        store = ScriptedStore(TurnReserved(history=b"old"))
        changes = {"call_changes": {"budget": 100}, "store": store}
        self.relay([Script(head(), *self.EVENTS)], **changes, **TURNS)
        self.assertEqual(store.settled[0].turn.content, b"newone\ntwo\n")
        self.assertEqual(store.settled[0].tokens, 18)

    def test_a_broken_stream_goes_on_behind_its_last_whole_event(self):
        scripts = [Script(head(), self.EVENTS[0], broken=True), Script(head(), self.EVENTS[1])]
        self.relay(scripts, **STREAM, is_resumable=True, max_attempts=2)
        self.assertEqual(self.writer.body, b"".join(self.EVENTS))
        self.assertEqual(self.backends.requests[1].last_event_id, "1")
