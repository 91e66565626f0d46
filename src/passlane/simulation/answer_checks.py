"""Checks of what callers were told: their answers, and whether a charge ran."""

import math
from collections import defaultdict

from passlane.emulator.answer_text import Answer
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.errors import Verdict
from passlane.messages.store import Turn
from passlane.simulation.observer import Observations, SeenPrompt
from passlane.simulation.seen_calls import all_calls, call_of_run, count_runs, markers_in


def answers_are_whole_and_own(seen: Observations) -> list[str]:
    """Check that each answer is the one that its own prompt asks for, token by token.

    Emulated answers follow from the prompt and the engine's software version, so the right ones can
    be computed. An answer that joins two versions is none of them.
    """
    expected: dict[str, set[str]] = defaultdict(set)
    for prompt in seen.prompts:
        if markers := markers_in(prompt):
            expected[markers[-1]].add(_expected_text(prompt, seen.engine_settings))
    violations: list[str] = []
    for call in all_calls(seen):
        texts = {attempt.text for attempt in call.attempts if attempt.succeeded}
        if len(texts) > 1:
            violations.append(f"{call.marker}: was answered in {len(texts)} different ways")
        if call.is_tool:
            continue
        violations += [
            f"{call.marker}: got an answer that is not its own: {text[:40]!r}"
            for text in sorted(texts)
            if text not in expected[call.marker]
        ]
    return violations


def _expected_text(prompt: SeenPrompt, engine: EngineModelSettings) -> str:
    request = prompt.request
    messages: tuple[Turn, ...] = request.messages
    answer = Answer(
        request.model,
        messages,
        request.seed,
        engine.answer_tokens_min,
        engine.answer_tokens_max,
        prompt.software_version,
    )
    return answer.text(0, min(answer.natural_tokens, request.max_tokens))


def refused_as_not_run_did_not_run(seen: Observations) -> list[str]:
    """Check that no tool call was refused as ``not_run`` that ran before or runs at last."""
    runs = count_runs(seen)
    first_runs = _first_runs(seen)
    violations: list[str] = []
    for call in all_calls(seen):
        key = (call.program_id, call.sequence)
        verdicts = {attempt.verdict for attempt in call.attempts if attempt.connected}
        only_refused = bool(verdicts) and verdicts == {Verdict.NOT_RUN}
        if call.is_tool and only_refused and runs[key]:
            violations.append(f"{call.marker}: was refused as not run, but ran")
        violations += [
            f"{call.marker}: ran at {first_runs[key]:.3f}, but was refused as not run afterwards"
            for attempt in call.attempts
            if call.is_tool
            and attempt.verdict is Verdict.NOT_RUN
            and first_runs.get(key, math.inf) < attempt.sent_at
        ]
    return violations


def _first_runs(seen: Observations) -> dict[tuple[str, int], float]:
    """Return when each tool call first ran."""
    times: dict[tuple[str, int], float] = {}
    for run in seen.tool_runs:
        if (key := call_of_run(run)) is not None:
            times[key] = min(run.time, times.get(key, math.inf))
    return times


def charges_run_at_most_once(seen: Observations) -> list[str]:
    """Check that no charge ran twice, and that one that was answered ran."""
    runs = count_runs(seen)
    violations = [
        f"{program}: charge of call {sequence} ran {count} times"
        for (program, sequence), count in runs.items()
        if count > 1
    ]
    violations += [
        f"{call.marker}: was answered as done, but never ran"
        for call in all_calls(seen)
        if call.is_tool and call.answer is not None and not runs[(call.program_id, call.sequence)]
    ]
    return violations
