"""Figures of requests that run beside one under which engines end, and of a loss of many engines.

    PYTHONPATH=tests .venv/bin/python tests/on_platform/ending_engines_load.py

Prints, summed over the seeds, what became of 300 turns of other programs a seed, each sent anew
twice at most, on a simulated fleet of two nodes and six engines.
"""

import random
import sys
from collections import Counter
from pathlib import Path

import anyio

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from on_platform.fleet import run_on_virtual_clock, running_fleet

SEEDS = 3
NODES = ("node-1", "node-2")
TURNS = 300
TURN_INTERVAL_S = 0.05
TRIES = 3
HARMFUL = b"<harmful>"
HARMFUL_ATTEMPTS = 24
HARMFUL_INTERVAL_S = 0.4
RESTART_S = 0.6
LOST_AT_ONCE = 4
LOSSES = 2
LOSS_INTERVAL_S = 4.0


async def take_turn(fleet, source, number, counts):
    name = f"other-{number}"
    program = {"x_passlane_program_id": name, "x_passlane_session_id": name}
    for attempt in range(TRIES):
        node = source.choice(NODES)
        answer = await fleet.turn(f"{name}.{attempt}", node=node, body=name.encode(), **program)
        if answer is not None and answer.status == 200 and answer.is_complete:
            counts["served at once" if attempt == 0 else "served later"] += 1
            return
        counts["attempts that failed"] += 1
        await anyio.sleep(source.uniform(0.1, 0.4))
    counts["not served"] += 1


async def take_turns(fleet, source, counts):
    async with anyio.create_task_group() as tasks:
        for number in range(TURNS):
            tasks.start_soon(take_turn, fleet, source, number, counts)
            await anyio.sleep(TURN_INTERVAL_S)


async def send_harmful(fleet, source):
    fleet.end_engines_under(HARMFUL, end_after_s=0.06, restart_s=RESTART_S)
    await anyio.sleep(2.0)
    for number in range(HARMFUL_ATTEMPTS):
        await fleet.turn(f"harmful-{number}", node=source.choice(NODES), body=HARMFUL)
        await anyio.sleep(HARMFUL_INTERVAL_S)


async def lose_many(fleet, source):
    for _ in range(LOSSES):
        await anyio.sleep(LOSS_INTERVAL_S)
        for engine in list(fleet.engines)[:LOST_AT_ONCE]:
            fleet.tasks.start_soon(fleet.replace_engine, engine, 0.0, RESTART_S)


async def measure(seed, disturb):
    source = random.Random(seed)
    counts = Counter()
    async with running_fleet(seed, engines=6) as fleet:
        for engine in fleet.engines:
            engine.event_delay_s = 0.05
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(take_turns, fleet, source, counts)
            tasks.start_soon(disturb, fleet, source)
        counts["engines ended"] = len(fleet.ended_engines)
    return counts


def main():
    for disturb in (send_harmful, lose_many):
        total = Counter()
        for seed in range(SEEDS):
            total += run_on_virtual_clock(lambda seed=seed, one=disturb: measure(seed, one), seed)
        print(disturb.__name__, dict(sorted(total.items())))


if __name__ == "__main__":
    main()
