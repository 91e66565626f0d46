"""Everything at random, together and twice."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio

from passlane.simulation.cluster import Cluster
from passlane.simulation.scenarios.base import (
    CHANGED_KIND,
    Scenario,
    load,
    numbered_document,
    pause,
)

ROUNDS = 6


async def _kill_and_restart(cluster: Cluster) -> None:
    name = cluster.random.choice(list(cluster.processes))
    process = cluster.processes[name]
    if not process.is_running:
        return
    process.kill(power_lost=cluster.random.random() < 0.5, in_silence=cluster.random.random() < 0.5)
    await pause(cluster, 0.5, 6.0)
    cluster.start_process(name)


async def _freeze(cluster: Cluster) -> None:
    process = cluster.processes[cluster.random.choice(list(cluster.processes))]
    if not process.is_running:
        return
    process.freeze()
    await pause(cluster, 0.5, 6.0)
    if process.is_running:
        process.thaw()


async def _cut(cluster: Cluster) -> None:
    names = list(cluster.processes) + cluster.plan.engine_names()
    cluster.cut_off(cluster.random.sample(names, cluster.random.choice((1, 2))))
    await pause(cluster, 0.5, 8.0)
    cluster.heal()


async def _break_connections(cluster: Cluster) -> None:
    name = cluster.random.choice(list(cluster.processes) + cluster.plan.engine_names())
    cluster.event_log.record("reset", name)
    cluster.network.break_connections(cluster.plan.host_of(name))


async def _restart_engine(cluster: Cluster) -> None:
    name = cluster.random.choice(cluster.plan.engine_names())
    cluster.engines[name].crash_and_restart()


async def _change(cluster: Cluster) -> None:
    number = cluster.random.randrange(10**6)
    name = f"mixed-{number}"
    await cluster.operators.change(CHANGED_KIND, name, numbered_document(number), 0, name)


DISTURBANCES: tuple[Callable[[Cluster], Coroutine[Any, Any, None]], ...] = (
    _kill_and_restart,
    _kill_and_restart,
    _freeze,
    _cut,
    _break_connections,
    _restart_engine,
    _change,
)


async def everything(cluster: Cluster) -> None:
    """Disturb the fleet at random, often while it still suffers from the last time."""
    async with load(cluster, calls=10), anyio.create_task_group() as tasks:
        for _ in range(ROUNDS):
            await pause(cluster, 0.2, 4.0)
            tasks.start_soon(cluster.random.choice(DISTURBANCES), cluster)


MIXED_SCENARIOS = (
    Scenario(
        "everything",
        ("order", "history", "budget", "answers", "at-most-once"),
        "kills, freezes, cuts, resets, engine restarts and changes at random",
        everything,
        must_answer=0.5,
    ),
)
