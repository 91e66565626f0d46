"""Checks of what passlane keeps for a program: its order, history, budget and memory."""

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping

from passlane.simulation.fleet_plan import TOOL_PRICE_MICROS
from passlane.simulation.observer import Observations, SeenCall, SeenProgram, SeenPrompt
from passlane.simulation.seen_calls import (
    call_of_run,
    count_runs,
    marker_of,
    markers_in,
    program_of,
)


def calls_run_in_order(seen: Observations) -> list[str]:
    """Check that no call of a program starts at a back end after a later one has."""
    events: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for prompt in seen.prompts:
        if markers := markers_in(prompt):
            program, _, sequence = markers[-1].removeprefix("call:").rpartition(":")
            events[program].append((prompt.time, int(sequence)))
    for run in seen.tool_runs:
        if (key := call_of_run(run)) is not None:
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
    for marker in markers_in(prompt):
        if program_of(marker) != own:
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
        marker = marker_of(content)
        if marker and program_of(marker) != program.program_id:
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
    runs = count_runs(seen)
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
        markers = markers_in(prompt)
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
