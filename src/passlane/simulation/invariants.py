"""The ten promises, each judged by what was seen from outside.

A check returns one line for each violation; an empty list means that the promise held.
"""

import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from passlane.emulator.answer_text import Answer
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.errors import Verdict
from passlane.messages.store import Turn
from passlane.simulation.configuration_check import accepted_configuration_stays
from passlane.simulation.observer import (
    Observations,
    SeenCall,
    SeenProgram,
    SeenPrompt,
    SeenToolRun,
)

LEAVING_GRACE_S = 5.0
"""A back end that is leaving gets no new work after this many seconds."""
TOOL_PRICE_MICROS = 1_000
"""Price of each run of a tool in simulated fleets."""

Check = Callable[[Observations], list[str]]


@dataclass(frozen=True)
class Invariant:
    """A promise and the check of it."""

    name: str
    promise: str
    check: Check


def _marker_of(content: str) -> str | None:
    """Return the marker of a caller's message: its first word, if that is one."""
    word = content.partition(" ")[0]
    return word if word.startswith("call:") else None


def _markers(prompt: SeenPrompt) -> list[str]:
    found = (_marker_of(turn.content) for turn in prompt.request.messages if turn.role == "user")
    return [marker for marker in found if marker is not None]


def _run_sequence(run: SeenToolRun) -> tuple[str, int] | None:
    """Return program and sequence number of a tool run, from its arguments' marker."""
    marker = run.arguments.partition('"call:')[2].partition('"')[0]
    program, _, sequence = marker.rpartition(":")
    return (program, int(sequence)) if program else None


def _runs_by_call(seen: Observations) -> Counter[tuple[str, int]]:
    return Counter(key for run in seen.tool_runs if (key := _run_sequence(run)) is not None)


def calls_run_in_order(seen: Observations) -> list[str]:
    """Check that no call of a program starts at a back end after a later one has."""
    events: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for prompt in seen.prompts:
        if markers := _markers(prompt):
            program, _, sequence = markers[-1].removeprefix("call:").rpartition(":")
            events[program].append((prompt.time, int(sequence)))
    for run in seen.tool_runs:
        if (key := _run_sequence(run)) is not None:
            events[key[0]].append((run.time, key[1]))
    return list(_order_violations(events))


def _order_violations(events: Mapping[str, list[tuple[float, int]]]) -> Iterator[str]:
    for program, entries in events.items():
        ordered = sorted(entries, key=lambda entry: entry[0])
        for (_, earlier), (time, later) in itertools.pairwise(ordered):
            if later < earlier:
                yield f"{program}: call {later} ran at {time:.3f} after call {earlier}"


def history_is_kept_and_unmixed(seen: Observations) -> list[str]:
    """Check that each answered call stands in its program's history, and nobody else's does."""
    violations: list[str] = []
    for prompt in seen.prompts:
        violations += _mixed_prompt(prompt)
    for program in seen.programs.values():
        violations += _lost_history(program)
    return violations


def _mixed_prompt(prompt: SeenPrompt) -> Iterator[str]:
    own = str(prompt.request.program_id)
    for marker in _markers(prompt):
        if marker.removeprefix("call:").rpartition(":")[0] != own:
            yield f"{own}: {prompt.engine} was sent {marker}"


def _lost_history(program: SeenProgram) -> Iterator[str]:
    answered = [call for call in program.calls if call.answer is not None]
    if program.final_turns is None:
        if answered:
            yield f"{program.program_id}: its history cannot be read any more"
        return
    contents = [content for _, content in program.final_turns]
    position = 0
    for call in answered:
        position = _find_call(call, contents, position)
        if position < 0:
            yield f"{program.program_id}: call {call.sequence} is not in its place in the history"
            return
    for content in contents:
        marker = _marker_of(content)
        if marker and marker.removeprefix("call:").rpartition(":")[0] != program.program_id:
            yield f"{program.program_id}: its history holds {marker}"


def _find_call(call: SeenCall, contents: list[str], start: int) -> int:
    """Return the place after the call's turns in the history; -1 if they are not there."""
    assert call.answer is not None
    wanted = [call.answer.text] if call.is_tool else [call.marker, call.answer.text]
    position = start
    for text in map(_without_spaces, wanted):
        while position < len(contents) and text not in _without_spaces(contents[position]):
            position += 1
        if position == len(contents):
            return -1
        position += 1
    return position


def _without_spaces(text: str) -> str:
    """Return a text that does not depend on how JSON was laid out."""
    return "".join(text.split())


def budgets_are_kept(seen: Observations) -> list[str]:
    """Check that what back ends ran for a program lies within its budget."""
    violations: list[str] = []
    runs = _runs_by_call(seen)
    for program in seen.programs.values():
        tool_runs = sum(n for (owner, _), n in runs.items() if owner == program.program_id)
        if tool_runs * TOOL_PRICE_MICROS > program.max_money_micros:
            violations.append(f"{program.program_id}: {tool_runs} charges are above its budget")
        ran = sum(1 for call in program.calls if call.answer is not None)
        if ran > program.max_calls:
            violations.append(f"{program.program_id}: {ran} calls, {program.max_calls} allowed")
        if program.final_spent is not None:
            limits = (program.max_tokens, program.max_calls, program.max_money_micros)
            if any(spent > limit for spent, limit in zip(program.final_spent, limits, strict=True)):
                violations.append(f"{program.program_id}: spent {program.final_spent} of {limits}")
    violations += _token_violations(seen)
    return violations


def _token_violations(seen: Observations) -> Iterator[str]:
    """Compare the tokens that engines were asked for with the programs' budgets."""
    largest: dict[tuple[str, str], int] = {}
    for prompt in seen.prompts:
        markers = _markers(prompt)
        if not markers:
            continue
        key = (str(prompt.request.program_id), markers[-1])
        words = sum(len(turn.content.encode()) // 4 for turn in prompt.request.messages)
        largest[key] = max(largest.get(key, 0), words)
    totals: Counter[str] = Counter()
    for (program_id, _), tokens in largest.items():
        totals[program_id] += tokens
    for program_id, tokens in totals.items():
        program = seen.programs.get(program_id)
        if program is not None and tokens > program.max_tokens:
            yield f"{program_id}: engines were sent {tokens} tokens, {program.max_tokens} allowed"


def no_memory_is_held_after_the_end(seen: Observations) -> list[str]:
    """Check that no engine holds memory for a program that has ended."""
    return [
        f"{engine}: holds {tokens} tokens for {program_id}, which has ended"
        for engine, held in seen.held_at_end.items()
        for program_id, tokens in held.items()
        if program_id in seen.programs and seen.programs[program_id].ended_at is not None
    ]


def answers_are_whole_and_own(seen: Observations) -> list[str]:
    """Check that each answer is the one that its own prompt asks for, token by token.

    Emulated answers follow from the prompt alone, so the right one can be computed.
    """
    expected: dict[str, set[str]] = defaultdict(set)
    for prompt in seen.prompts:
        if markers := _markers(prompt):
            expected[markers[-1]].add(_expected_text(prompt, seen.engine_settings))
    violations: list[str] = []
    for call in _calls(seen):
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
    )
    return answer.text(0, min(answer.natural_tokens, request.max_tokens))


def _calls(seen: Observations) -> Iterator[SeenCall]:
    for program in seen.programs.values():
        yield from program.calls


def refused_as_not_run_did_not_run(seen: Observations) -> list[str]:
    """Check that no tool call was refused as ``not_run`` that ran before or runs at last."""
    runs = _runs_by_call(seen)
    first_runs = _first_runs(seen)
    violations: list[str] = []
    for call in _calls(seen):
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
        if (key := _run_sequence(run)) is not None:
            times[key] = min(run.time, times.get(key, math.inf))
    return times


def charges_run_at_most_once(seen: Observations) -> list[str]:
    """Check that no charge ran twice, and that one that was answered ran."""
    runs = _runs_by_call(seen)
    violations = [
        f"{program}: charge of call {sequence} ran {count} times"
        for (program, sequence), count in runs.items()
        if count > 1
    ]
    violations += [
        f"{call.marker}: was answered as done, but never ran"
        for call in _calls(seen)
        if call.is_tool and call.answer is not None and not runs[(call.program_id, call.sequence)]
    ]
    return violations


def leaving_back_ends_get_no_new_work(seen: Observations) -> list[str]:
    """Check that nothing new reaches a back end some seconds after it began to leave."""
    violations: list[str] = []
    for departure in seen.departures:
        limit = departure.time + LEAVING_GRACE_S
        violations += [
            f"{departure.name}: left at {departure.time:.3f}, got new work at {prompt.time:.3f}"
            for prompt in seen.prompts
            if prompt.engine == departure.name and prompt.time > limit
        ]
    return violations


def planned_stops_cut_nothing_off(seen: Observations) -> list[str]:
    """Check that calls in flight at a node that was stopped as planned came to their end."""
    violations: list[str] = []
    for stop in seen.planned_stops:
        for call in _calls(seen):
            for attempt in call.attempts:
                in_flight = attempt.node == stop.node and attempt.sent_at < stop.began_at
                ended_at = attempt.ended_at
                ended_during = ended_at is not None and ended_at >= stop.began_at
                if in_flight and ended_during and attempt.connected and not attempt.is_whole:
                    violations.append(f"{call.marker}: was cut off by the stop of {stop.node}")
    return violations


INVARIANTS: tuple[Invariant, ...] = (
    Invariant("order", "The calls of one program run in order.", calls_run_in_order),
    Invariant("history", "A history is never lost and never mixed.", history_is_kept_and_unmixed),
    Invariant("budget", "A program never spends beyond its budget.", budgets_are_kept),
    Invariant(
        "memory",
        "No engine memory stays held for ended programs.",
        no_memory_is_held_after_the_end,
    ),
    Invariant("answers", "Each caller gets its own whole answer.", answers_are_whole_and_own),
    Invariant("not-run", "What is refused as not run did not run.", refused_as_not_run_did_not_run),
    Invariant(
        "at-most-once", "What may not be repeated runs at most once.", charges_run_at_most_once
    ),
    Invariant(
        "leaving",
        "A leaving back end gets no new work after seconds.",
        leaving_back_ends_get_no_new_work,
    ),
    Invariant("planned-stop", "A planned stop cuts off no request.", planned_stops_cut_nothing_off),
    Invariant(
        "configuration",
        "An accepted configuration is in force everywhere and never reverts.",
        accepted_configuration_stays,
    ),
)
"""One invariant for each promise of the product."""
