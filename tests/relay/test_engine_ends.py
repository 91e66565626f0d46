"""What a node finds out of the engines of broken attempts, and what it tells the store group."""

import functools
import unittest
from unittest import mock

import anyio
import msgspec
import trio.testing
from structlog.testing import capture_logs

from passlane.decisions.backends.registry import BackendRegistry
from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES, MAX_HOLD_S, RETENTION_S
from passlane.errors import Verdict
from passlane.messages.engine_ends import RefusedRequest
from passlane.messages.listing import BackendState
from passlane.messages.turns import TurnStoreFound
from passlane.relay import end_reports
from passlane.relay.background_reports import REPORT_RETRY_DELAY_S
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.end_reports import EndReports
from passlane.relay.engine_ends import (
    FATE_WINDOW_S,
    MAX_OBSERVATION_S,
    RESOLUTION_INTERVAL_S,
    EngineEndWatch,
)
from passlane.relay.observed_attempts import (
    BORN_PROOF_DELAY_S,
    EndEvidence,
    ObservedAttempt,
    UnknownFate,
)
from passlane.relay.refused_requests import FIRST_ANSWER_TIMEOUT_S, RefusedRequests
from passlane.relay.request_errors import AnswerAbortedError, RequestRefusedError
from passlane.runtime.reach import LIFE_PROOF_DELAY_S, BackendReach
from relay.fakes import (
    AT_CAPACITY,
    WRONG_INSTANCE,
    Reset,
    Script,
    ScriptedBackends,
    ScriptedStore,
    Unreachable,
    backend,
    head,
)
from relay.test_service import EVENT_1, STREAM, RelayCase

ENGINES = [backend(f"i-{number}") for number in range(1, 6)]


class RefusingStore(ScriptedStore):
    """Tells nodes which requests are refused, when ``refused`` is set."""

    def __init__(self):
        super().__init__()
        self.refused = ()
        self.revision = 0
        self.changed = anyio.Event()
        self.report_delay_s = 0.0

    def refuse(self, *keys):
        self.refused = tuple(RefusedRequest(request_key=key, remaining_s=50.0) for key in keys)
        self.revision += 1
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for_refused(self, known_revision):
        while known_revision == str(self.revision):
            await self.changed.wait()
        return TurnStoreFound(refused=self.refused, refused_revision=str(self.revision))

    async def report_engine_ends(self, ends, fates, *, timeout_s):
        await anyio.sleep(self.report_delay_s)
        return await super().report_engine_ends(ends, fates, timeout_s=timeout_s)


def with_watch(body):
    """Run a test's body on a virtual clock with a running watch of five listed engines."""

    @functools.wraps(body)
    def test(self):
        async def main():
            self.backends = ScriptedBackends()
            self.backends.reach = BackendReach.REFUSED
            self.registry = BackendRegistry()
            self.registry.update(ENGINES, anyio.current_time())
            self.store = RefusingStore()
            async with anyio.create_task_group() as tasks:
                self.refused = RefusedRequests(self.store)
                reports = EndReports(self.store, self.refused, tasks)
                self.watch = EngineEndWatch(
                    self.backends, self.registry, self.refused, reports, tasks
                )
                tasks.start_soon(self.refused.follow)
                tasks.start_soon(self.watch.run)
                await anyio.sleep(0.01)
                await body(self)
                tasks.cancel_scope.cancel()

        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(main, backend="trio", backend_options={"clock": clock})

    return test


class EngineEndWatchTest(unittest.TestCase):
    async def break_attempt(self, number, key="one"):
        await self.watch.observe_broken(self.attempt(number, key))

    def attempt(self, number=0, key="one", attempt_id="a"):
        return ObservedAttempt(key, attempt_id, ENGINES[number], "/healthz")

    def reported(self, key="one"):
        return [end.instance for end in self.store.engine_ends if end.request_key == key]

    @with_watch
    async def test_an_engine_whose_address_refuses_connections_has_ended(self):
        await self.break_attempt(0)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_engine_that_accepts_connections_or_is_silent_is_not_counted(self):
        for reach in (BackendReach.ACCEPTED, BackendReach.NO_ANSWER):
            self.backends.reach = reach
            for number in range(5):
                await self.break_attempt(number)
        await anyio.sleep(FATE_WINDOW_S + 1.0)
        self.assertEqual(self.store.engine_ends, [])

    @with_watch
    async def test_attempts_that_break_together_share_one_check(self):
        async with anyio.create_task_group() as tasks:
            for key in ("one", "two", "three"):
                tasks.start_soon(self.break_attempt, 0, key)
        self.assertEqual(self.backends.checked, ["i-1"])
        self.assertEqual(len(self.store.engine_ends), 3)

    @with_watch
    async def test_this_node_refuses_by_its_own_counts_without_the_store_group(self):
        self.store.is_unavailable = True
        for number in range(MAX_ENDED_ENGINES):
            self.assertIsNone(self.refused.remaining_s("one"))
            await self.break_attempt(number)
        self.assertAlmostEqual(self.refused.remaining_s("one"), RETENTION_S, delta=1.0)
        self.assertIsNone(self.refused.remaining_s("two"))
        await anyio.sleep(RETENTION_S + 1.0)
        self.assertTrue(self.refused.is_empty)

    @with_watch
    async def test_own_refusals_outlast_an_answer_that_does_not_name_them(self):
        self.store.is_unavailable = True
        for number in range(MAX_ENDED_ENGINES):
            await self.break_attempt(number)
        self.store.refuse("two")
        await anyio.sleep(0.1)
        self.assertIsNotNone(self.refused.remaining_s("one"))
        self.assertIsNotNone(self.refused.remaining_s("two"))

    @with_watch
    async def test_what_the_store_group_refuses_is_followed(self):
        self.store.refuse("one")
        await anyio.sleep(0.1)
        self.assertAlmostEqual(self.refused.remaining_s("one"), 50.0, delta=1.0)
        self.store.refuse()
        await anyio.sleep(0.1)
        self.assertIsNone(self.refused.remaining_s("one"))

    @with_watch
    async def test_reports_are_repeated_until_the_store_group_has_them(self):
        self.store.is_unavailable = True
        await self.break_attempt(0)
        self.store.is_unavailable = False
        await anyio.sleep(2 * REPORT_RETRY_DELAY_S)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_engine_that_was_taken_for_gone_and_answers_is_checked_again(self):
        self.watch.record_gone("i-1", EndEvidence.REFUSED_CONNECTION)
        await anyio.sleep(0.1)
        self.watch.record_answer("i-1", anyio.current_time())
        self.backends.reach = BackendReach.ACCEPTED
        await self.break_attempt(0)
        self.assertEqual((self.backends.checked, self.reported()), (["i-1"], []))

    @with_watch
    async def test_unreported_ends_are_bounded_and_the_oldest_give_way(self):
        self.store.is_unavailable = True
        with mock.patch.object(end_reports, "MAX_UNREPORTED", 4):
            for number in range(3):
                await self.break_attempt(number, key=f"key-{number}")
        self.store.is_unavailable = False
        await anyio.sleep(2 * REPORT_RETRY_DELAY_S)
        self.assertEqual([end.instance for end in self.store.engine_ends], ["i-2", "i-3"])

    @with_watch
    async def test_an_attempt_does_not_wait_long_for_a_slow_store_group(self):
        self.store.report_delay_s = 5.0
        began_at = anyio.current_time()
        await self.break_attempt(0)
        self.assertAlmostEqual(anyio.current_time() - began_at, MAX_OBSERVATION_S, places=3)
        await anyio.sleep(5.0)
        self.assertEqual([fate.instance for fate in self.store.fates], ["i-1"])
        await anyio.sleep(5.0)
        self.assertEqual(self.reported(), ["i-1"])


class LaterEvidenceTest(EngineEndWatchTest):
    """Engines of which nothing is known when the attempt breaks off."""

    async def break_unresolved(self, number=0):
        self.backends.reach = BackendReach.NO_ANSWER
        await self.break_attempt(number)
        self.assertEqual(self.reported(), [])

    @with_watch
    async def test_an_engine_that_the_list_drops_has_ended(self):
        await self.break_unresolved()
        await anyio.sleep(2.0)
        self.registry.update(ENGINES[1:], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_engine_that_the_list_dropped_before_the_attempt_broke_has_ended(self):
        self.registry.update(ENGINES[1:], anyio.current_time())
        self.backends.reach = BackendReach.ACCEPTED
        await self.break_attempt(0)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_engine_that_drains_before_it_leaves_the_list_has_not_ended(self):
        await self.break_unresolved()
        draining = msgspec.structs.replace(ENGINES[0], state=BackendState.DRAINING)
        self.registry.update([draining, *ENGINES[1:]], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.registry.update(ENGINES[1:], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), [])

    @with_watch
    async def test_an_engine_that_answers_a_later_request_has_not_ended(self):
        await self.break_unresolved()
        await anyio.sleep(LIFE_PROOF_DELAY_S)
        self.watch.record_answer("i-1", anyio.current_time())
        self.registry.update(ENGINES[1:], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), [])
        self.assertIsNone(self.refused.own.find("one"))

    @with_watch
    async def test_an_engine_that_answers_shortly_before_it_ends_has_ended(self):
        await self.break_unresolved()
        await anyio.sleep(LIFE_PROOF_DELAY_S - 0.1)
        self.watch.record_answer("i-1", anyio.current_time())
        self.registry.update(ENGINES[1:], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_answer_to_a_request_sent_before_the_break_shows_nothing(self):
        sent_at = anyio.current_time()
        await anyio.sleep(0.1)
        await self.break_unresolved()
        self.watch.record_answer("i-1", sent_at)
        self.registry.update(ENGINES[1:], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_another_engine_at_the_address_shows_that_it_has_ended(self):
        await self.break_unresolved()
        self.watch.record_gone("i-1", EndEvidence.OTHER_INSTANCE)
        await anyio.sleep(0.1)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_engine_that_leaves_the_list_much_later_has_not_ended_under_it(self):
        await self.break_unresolved()
        await anyio.sleep(FATE_WINDOW_S + 1.0)
        self.registry.update(ENGINES[1:], anyio.current_time())
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), [])


class UnknownFateTest(EngineEndWatchTest):
    """Attempts that count as ends until their engines are known to live."""

    def observe(self, number, cause=UnknownFate.LEFT):
        self.watch.observe_ended(self.attempt(number), cause)

    def fates(self):
        return [(fate.instance, fate.is_alive) for fate in self.store.fates]

    @with_watch
    async def test_an_unknown_fate_is_reported_at_once_and_counts(self):
        self.backends.reach = BackendReach.NO_ANSWER
        for number in range(MAX_ENDED_ENGINES):
            self.assertFalse(self.refused.is_doubtful("one"))
            self.observe(number)
            await anyio.sleep(0.01)
        self.assertEqual(self.fates(), [("i-1", False), ("i-2", False), ("i-3", False)])
        self.assertTrue(self.refused.is_doubtful("one"))
        self.assertFalse(self.refused.is_doubtful("two"))
        await anyio.sleep(RETENTION_S - 1.0)
        self.assertTrue(self.refused.is_doubtful("one"))
        await anyio.sleep(2.0)
        self.assertTrue(self.refused.is_empty)

    @with_watch
    async def test_an_engine_that_answers_its_health_check_counts_no_longer(self):
        self.backends.reach = BackendReach.ACCEPTED
        self.observe(0)
        await anyio.sleep(LIFE_PROOF_DELAY_S - 0.1)
        self.assertEqual(self.backends.asked, [])
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S + 0.01)
        self.assertEqual(self.fates(), [("i-1", False), ("i-1", True)])
        self.assertTrue(self.refused.is_empty)

    @with_watch
    async def test_one_check_serves_all_attempts_at_an_engine(self):
        self.backends.reach = BackendReach.ACCEPTED
        for key in ("one", "two", "three"):
            self.watch.observe_ended(self.attempt(0, key), UnknownFate.LEFT)
        await anyio.sleep(1.0)
        self.assertEqual(self.backends.asked, ["i-1"])
        self.assertTrue(self.refused.is_empty)

    @with_watch
    async def test_an_engine_that_answers_other_requests_is_not_asked(self):
        self.observe(0)
        await anyio.sleep(LIFE_PROOF_DELAY_S)
        self.watch.record_answer("i-1", anyio.current_time())
        await anyio.sleep(1.0)
        self.assertEqual(self.backends.asked, [])

    @with_watch
    async def test_a_silent_engine_is_asked_ever_less_often(self):
        self.backends.reach = BackendReach.NO_ANSWER
        self.observe(0)
        await anyio.sleep(RETENTION_S + 1.0)
        self.assertLessEqual(len(self.backends.asked), 20)
        self.assertEqual(self.reported(), [])

    @with_watch
    async def test_another_engine_that_answers_the_health_check_shows_an_end(self):
        self.backends.instance_reach = BackendReach.OTHER_INSTANCE
        self.observe(0)
        await anyio.sleep(1.0)
        self.assertEqual(self.reported(), ["i-1"])

    @with_watch
    async def test_an_engine_that_may_keep_its_id_needs_a_list_read_since(self):
        self.backends.reach = BackendReach.ACCEPTED
        born = msgspec.structs.replace(ENGINES[0], born_ms=7)
        self.registry.update([born, *ENGINES[1:]], anyio.current_time())
        for attempt_id in ("a", "b"):
            attempt = ObservedAttempt("one", attempt_id, born, "/healthz")
            self.watch.observe_ended(attempt, UnknownFate.LEFT)
        await anyio.sleep(BORN_PROOF_DELAY_S - 0.1)
        self.assertEqual(self.refused.own.find("one").possible_ends, 2)
        self.registry.update(
            [msgspec.structs.replace(born, born_ms=8), *ENGINES[1:]], anyio.current_time()
        )
        await anyio.sleep(2 * RESOLUTION_INTERVAL_S)
        self.assertEqual(self.reported(), ["i-1@7/a", "i-1@7/b"])

    @with_watch
    async def test_without_the_store_group_one_possible_end_is_enough(self):
        self.backends.reach = BackendReach.NO_ANSWER
        self.store.is_unavailable = True
        self.observe(0)
        began_at = anyio.current_time()
        with self.assertRaises(RequestRefusedError) as refused:
            await self.refused.require_allowed("one", Verdict.NOT_RUN)
        self.assertIs(refused.exception.code, RequestEndReason.ENGINES_UNKNOWN)
        self.assertGreater(refused.exception.refusal.retry_after_s, 0.0)
        self.assertAlmostEqual(anyio.current_time() - began_at, MAX_HOLD_S, delta=0.06)
        await self.refused.require_allowed("two", Verdict.NOT_RUN)

    @with_watch
    async def test_a_request_waits_for_a_fate_that_is_known_soon(self):
        self.backends.reach = BackendReach.ACCEPTED
        for number in range(MAX_ENDED_ENGINES):
            self.observe(number)
        await anyio.sleep(0.01)
        began_at = anyio.current_time()
        await self.refused.require_allowed("one", Verdict.NOT_RUN)
        self.assertAlmostEqual(
            anyio.current_time() - began_at, LIFE_PROOF_DELAY_S, delta=2 * RESOLUTION_INTERVAL_S
        )


class HeldLineTest(unittest.TestCase):
    def test_a_request_that_is_not_held_writes_no_line(self):
        async def main():
            refused = RefusedRequests(RefusingStore())
            refused.own.record_unknown("other", "i-1", anyio.current_time())
            for _ in range(100):
                await refused.require_allowed("one", Verdict.NOT_RUN)

        with capture_logs() as lines:
            anyio.run(main)
        self.assertEqual(lines, [])


class StartTest(unittest.TestCase):
    @with_watch
    async def test_requests_wait_for_the_refused_ones_only_shortly_after_the_start(self):
        async with anyio.create_task_group() as tasks:
            refused = RefusedRequests(self.store)
            self.store.revision = ""
            tasks.start_soon(refused.follow)
            await anyio.sleep(0.001)
            began_at = anyio.current_time()
            await refused.wait_until_known()
            waited_s = anyio.current_time() - began_at
            self.assertAlmostEqual(waited_s, FIRST_ANSWER_TIMEOUT_S, places=2)
            await refused.wait_until_known()
            self.assertEqual(anyio.current_time() - began_at, waited_s)
            tasks.cancel_scope.cancel()


class RelayedRequestTest(RelayCase):
    """One request whose engines end."""

    def relay_ending(self, scripts, **changes):
        self.relay(scripts, records=ENGINES, reach=BackendReach.REFUSED, **changes)

    def test_a_repeatable_request_is_not_sent_on_after_the_last_engine_that_may_end(self):
        self.relay_ending([Reset()] * 4 + [Script(head(), b"ok")], max_attempts=5)
        self.assertEqual(len(self.backends.requested), MAX_ENDED_ENGINES)
        self.assertEqual(self.writer.status, 502)

    def test_a_stream_that_has_begun_ends_without_being_complete(self):
        script = Script(head(), EVENT_1, broken=True)
        changes = STREAM | {"is_resumable": True, "max_attempts": 5}
        versioned = [msgspec.structs.replace(e, software_version="v1") for e in ENGINES]
        scripts = [script, Reset(), Reset(), Script(head(), b"")]
        self.relay(scripts, records=versioned, reach=BackendReach.REFUSED, **changes)
        self.assertEqual(len(self.backends.requested), MAX_ENDED_ENGINES)
        self.assertIsInstance(self.error, AnswerAbortedError)
        self.assertFalse(self.writer.is_finished)

    def test_an_engine_that_could_not_be_reached_was_not_ended_by_the_request(self):
        scripts = [Unreachable()] * 4 + [Script(head(), b"ok")]
        self.relay_ending(scripts, max_attempts=5)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))
        self.assertEqual(self.store.engine_ends, [])

    def test_an_answer_of_another_engine_at_the_address_is_no_sign_of_life(self):
        scripts = [Reset(), Script(WRONG_INSTANCE), *[Script(AT_CAPACITY)] * 400]
        self.relay(scripts, records=ENGINES[:1], max_attempts=5)
        self.assertEqual([end.instance for end in self.store.engine_ends], ["i-1"])

    def test_engines_that_live_do_not_count(self):
        scripts = [Reset()] * 4 + [Script(head(), b"ok")]
        self.relay(scripts, records=ENGINES, max_attempts=5)
        self.assertEqual((self.writer.status, self.writer.body), (200, b"ok"))


if __name__ == "__main__":
    unittest.main()
