"""The engine model keeps what its protocol promises, on a virtual clock."""

import random
import unittest

import msgspec

from passlane.emulator.engine_model import EngineModel
from passlane.emulator.engine_outputs import (
    FinishedRequest,
    FinishReason,
    RefusalReason,
    StepOutput,
    Submission,
)
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.identifiers import EngineId, ProgramId
from passlane.messages.backends import EngineOrder, OrderKind

QUIET = EngineModelSettings(event_loss_probability=0.0)


def make_model(settings: EngineModelSettings = QUIET, *, seed: int = 1) -> EngineModel:
    return EngineModel(
        settings,
        engine_id=EngineId("engine-1"),
        incarnation=1,
        generator=random.Random(seed),
    )


def submission(name: str, program: str | None = None, **changes: int) -> Submission:
    fields = {"prompt_tokens": 100, "answer_tokens": 20, **changes}
    return Submission(
        attempt_id=name, program_id=ProgramId(program or name), model="agent", **fields
    )


def run_until_idle(model: EngineModel) -> list[StepOutput]:
    outputs = []
    while (when := model.next_event_time()) is not None:
        outputs += model.advance(when)
    return outputs


def finished(outputs: list[StepOutput]) -> dict[str, FinishedRequest]:
    return {end.attempt_id: end for output in outputs for end in output.finished}


class EngineModelTest(unittest.TestCase):
    def test_second_turn_reuses_the_prefix_until_memory_runs_out(self) -> None:
        model = make_model(msgspec.structs.replace(QUIET, cache_tokens=400))
        model.submit(submission("a", "p"), 0.0)
        run_until_idle(model)
        model.submit(submission("b", "p", prompt_tokens=150), 1.0)
        self.assertEqual(finished(run_until_idle(model))["b"].cached_tokens, 120)
        model.submit(submission("c", "other", prompt_tokens=300), 2.0)
        run_until_idle(model)
        self.assertEqual(model.cache.tokens_of(ProgramId("p")), 0)
        model.submit(submission("d", "p", prompt_tokens=150), 3.0)
        self.assertEqual(finished(run_until_idle(model))["d"].cached_tokens, 0)

    def test_urgent_request_is_admitted_before_earlier_ones(self) -> None:
        model = make_model(msgspec.structs.replace(QUIET, max_batch=1))
        for name, priority in (("running", 5), ("late", 5), ("urgent", 0)):
            model.submit(submission(name, priority=priority), 0.0)
        self.assertEqual(list(finished(run_until_idle(model))), ["running", "urgent", "late"])

    def test_cancelled_request_leaves_room_and_gives_nothing_more(self) -> None:
        model = make_model(msgspec.structs.replace(QUIET, max_batch=1))
        model.submit(submission("a"), 0.0)
        model.submit(submission("b"), 0.0)
        self.assertTrue(model.cancel("a", 0.001))
        outputs = run_until_idle(model)
        self.assertEqual(list(finished(outputs)), ["b"])
        self.assertEqual({t.attempt_id for o in outputs for t in o.tokens}, {"b"})
        self.assertFalse(model.cancel("a", 1.0))

    def test_resumed_request_generates_only_what_is_missing(self) -> None:
        model = make_model()
        model.submit(submission("a", resume_from=15), 0.0)
        outputs = run_until_idle(model)
        positions = [t.first_position for o in outputs for t in o.tokens]
        self.assertEqual(positions, [15, 16, 17, 18, 19])
        self.assertEqual(finished(outputs)["a"].generated_tokens, 5)

    def test_drawn_failure_breaks_the_stream_off(self) -> None:
        model = make_model(msgspec.structs.replace(QUIET, failure_probability=1.0))
        model.submit(submission("a"), 0.0)
        self.assertIs(finished(run_until_idle(model))["a"].reason, FinishReason.FAILED)

    def test_older_fencing_token_changes_nothing(self) -> None:
        model = make_model()
        model.submit(submission("a", "p", epoch=3), 0.0)
        run_until_idle(model)
        release = EngineOrder(
            kind=OrderKind.RELEASE_PROGRAM,
            scope="program:p",
            fencing_token=2,
            program_id=ProgramId("p"),
        )
        self.assertTrue(model.is_stale(release))
        self.assertFalse(model.order(release, 1.0).done)
        self.assertEqual(model.current_load().held_programs, 1)
        stale = model.submit(submission("b", "p", epoch=2), 1.0)
        self.assertIs(stale, RefusalReason.STALE_EPOCH)
        current = msgspec.structs.replace(release, fencing_token=3)
        self.assertTrue(model.order(current, 1.0).done)
        self.assertEqual(model.current_load().held_programs, 0)

    def test_model_is_usable_only_when_its_weights_have_arrived(self) -> None:
        model = make_model()
        load = EngineOrder(
            kind=OrderKind.LOAD_MODEL, scope="engine", fencing_token=1, argument="tutor"
        )
        self.assertFalse(model.order(load, 0.0).done)
        self.assertEqual(model.next_event_time(), 2.0)
        model.advance(1.9)
        self.assertNotIn("tutor", model.current_load().models)
        model.advance(2.0)
        self.assertIn("tutor", model.current_load().models)
        self.assertTrue(model.order(load, 2.1).done)

    def test_cache_events_are_late_and_numbered_with_gaps(self) -> None:
        model = make_model(msgspec.structs.replace(QUIET, event_loss_probability=0.5), seed=3)
        for number in range(20):
            model.submit(submission(f"a{number}"), 0.0)
        run_until_idle(model)
        self.assertEqual(model.cache_events(0, 0.05).events, ())
        numbers = [event.number for event in model.cache_events(0, 10.0).events]
        self.assertEqual(numbers, sorted(numbers))
        self.assertLess(len(numbers), 20)
        self.assertEqual(model.cache_snapshot().number, 20)

    def test_load_report_lags(self) -> None:
        model = make_model()
        model.load_report(0.0)
        model.submit(submission("a", answer_tokens=1_000), 1.0)
        self.assertEqual(model.load_report(1.1).running, 0)
        self.assertEqual(model.load_report(1.4).running, 1)
