"""Scenarios about engines, applications and programs that misbehave."""

import anyio
import msgspec

from passlane.emulator.application_model import ApplicationSettings, Behaviour
from passlane.emulator.engine_settings import EngineModelSettings
from passlane.simulation.callers import HARMFUL_TEXT, TOOL, CallScript, ProgramScript
from passlane.simulation.cluster import (
    APPLICATION_SETTINGS,
    ENGINE_SETTINGS,
    Cluster,
    ClusterOptions,
)
from passlane.simulation.fleet_plan import FleetPlan
from passlane.simulation.observer import Departure
from passlane.simulation.scenarios.base import Scenario, load, load_script, pause

SOFTWARE_VERSIONS = ("v1", "v2")
RELEASE_SHARE = 0.3
SLOW_ENGINE = EngineModelSettings(answer_tokens_min=30, answer_tokens_max=60, step_base_s=0.06)
UNCHECKING_ENGINE = msgspec.structs.replace(SLOW_ENGINE, checks_version=False)
FAULTY_ENGINE = msgspec.structs.replace(ENGINE_SETTINGS, failure_probability=0.15)
CUTTING_ENGINE = msgspec.structs.replace(
    FAULTY_ENGINE, ends_with_connection=True, breaks_inside_event=True
)
FRAGILE_ENGINE = msgspec.structs.replace(ENGINE_SETTINGS, ends_under=HARMFUL_TEXT)
LATE_ENDING_ENGINE = msgspec.structs.replace(FRAGILE_ENGINE, ends_after_s=0.3)
ENDLESS_ENGINE = msgspec.structs.replace(ENGINE_SETTINGS, endless_probability=0.1)
HARMFUL_PROGRAMS = 2
FAULTY_APPLICATION = ApplicationSettings(
    tools=(TOOL,),
    hang_probability=0.05,
    hang_after_probability=0.05,
    refuse_probability=0.15,
    fail_before_probability=0.15,
    fail_after_probability=0.15,
    answer_twice_probability=0.1,
)


async def engine_leaving(cluster: Cluster) -> None:
    """Let the platform list an engine as leaving; end it half a minute later."""
    engine = cluster.random.choice(cluster.plan.engine_names())
    async with load(cluster, calls=16):
        await pause(cluster, 1.0, 3.0)
        now = anyio.current_time()
        cluster.platform.model.mark_leaving(engine, 30.0, now)
        cluster.event_log.record("leaving", engine)
        cluster.observations.departures.append(Departure(now, engine))


async def engine_drained(cluster: Cluster) -> None:
    """Have an operator drain an engine."""
    engine = cluster.random.choice(cluster.plan.engine_names())
    async with load(cluster, calls=12):
        await pause(cluster, 1.0, 3.0)
        body = {"target_kind": "engine", "target": engine}
        change = await cluster.operators.change("drain", f"engine-{engine}", body, 0, "drain")
        if change.accepted_at is not None:
            cluster.observations.departures.append(Departure(change.accepted_at, engine))


async def engine_restarted(cluster: Cluster) -> None:
    """Restart engines, whose memory is gone then, while they stream."""
    async with load(cluster, programs=8):
        for _ in range(3):
            await pause(cluster, 0.5, 2.0)
            engine = cluster.random.choice(cluster.plan.engine_names())
            cluster.engines[engine].crash_and_restart()


async def engine_versions(cluster: Cluster) -> None:
    """Restart engines of two software versions while they stream; some come back as the other."""
    async with load(cluster, programs=8):
        for _ in range(6):
            await pause(cluster, 0.3, 1.5)
            engine = cluster.engines[cluster.random.choice(cluster.plan.engine_names())]
            if cluster.random.random() < RELEASE_SHARE:
                engine.release(cluster.random.choice(SOFTWARE_VERSIONS))
            else:
                engine.crash_and_restart()


async def engine_ends_under_calls(cluster: Cluster) -> None:
    """Make calls under which engines end, while a node and a store's replica are lost."""
    async with load(cluster), anyio.create_task_group() as tasks:
        for number in range(HARMFUL_PROGRAMS):
            tenant = cluster.plan.tenants[number % len(cluster.plan.tenants)]
            script = ProgramScript(tenant, [CallScript(is_harmful=True)])
            tasks.start_soon(cluster.callers.run_program, f"harmful-{number}", script)
        for _ in range(2):
            await pause(cluster, 0.2, 1.5)
            await _lose_power_of_any(cluster)


async def engine_unreachable(cluster: Cluster) -> None:
    """Cut an engine off in silence for a while."""
    engine = cluster.random.choice(cluster.plan.engine_names())
    async with load(cluster):
        await pause(cluster, 1.0, 3.0)
        cluster.cut_off([engine])
        await pause(cluster, 5.0, 15.0)
        cluster.heal()


async def faulty_application(cluster: Cluster) -> None:
    """Let the application hang before and after it ran, beside the faults of its settings."""
    model = next(iter(cluster.applications.values())).model
    drawn = cluster.random.choice((Behaviour.HANG, Behaviour.HANG_AFTER))
    for behaviour in (Behaviour.HANG_AFTER, Behaviour.HANG, drawn):
        model.force(behaviour)
    async with load(cluster, programs=4):
        pass


async def caller_resends_everything(cluster: Cluster) -> None:
    """Send each call several times at once through different nodes."""
    script = ProgramScript(cluster.plan.tenants[0], [])
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(_run_with_resends, cluster, f"resent-{number}", script)


async def _run_with_resends(cluster: Cluster, name: str, script: ProgramScript) -> None:
    program = await cluster.callers.run_program_open(name, script)
    if program is None:
        return
    for sequence in range(5):
        call = CallScript(is_tool=sequence % 2 == 1, is_streamed=False)
        await cluster.callers.make_call_several_times(program, sequence, call, copies=3)
    await cluster.callers.end(program)


async def calls_sent_together(cluster: Cluster) -> None:
    """Send all calls of a program at the same time, through different nodes."""
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(_run_together, cluster, number)


async def _run_together(cluster: Cluster, number: int) -> None:
    script = load_script(cluster, number, calls=5)
    program = await cluster.callers.run_program_open(f"together-{number}", script)
    if program is not None:
        await cluster.callers.make_calls_together(program, script.calls)
        await cluster.callers.end(program)


async def endless_program(cluster: Cluster) -> None:
    """Run a program that would go on for ever, until its budget stops it."""
    calls = [CallScript(max_tokens=16, pause_s=0.05, is_tool=n % 4 == 3) for n in range(60)]
    script = ProgramScript(cluster.plan.tenants[0], calls, max_calls=20, max_money_micros=3_000)
    async with load(cluster, programs=3), anyio.create_task_group() as tasks:
        tasks.start_soon(cluster.callers.run_program, "endless", script)


async def budget_over_crashes(cluster: Cluster) -> None:
    """Spend small budgets while nodes and stores die."""
    calls = [CallScript(is_tool=n % 2 == 1, max_tokens=16, pause_s=0.3) for n in range(30)]
    async with anyio.create_task_group() as tasks:
        for number in range(4):
            script = ProgramScript(
                cluster.plan.tenants[number % 2],
                calls,
                max_calls=10,
                max_money_micros=4_000,
                max_tokens=2_000,
            )
            tasks.start_soon(cluster.callers.run_program, f"small-{number}", script)
        for _ in range(3):
            await pause(cluster, 0.5, 1.5)
            await _lose_power_of_any(cluster)


async def _lose_power_of_any(cluster: Cluster) -> None:
    """Cut the power of any process for some seconds."""
    name = cluster.random.choice(list(cluster.processes))
    cluster.processes[name].kill(power_lost=True)
    await pause(cluster, 2.0, 4.0)
    cluster.start_process(name)


def _engine_options(engine: EngineModelSettings) -> ClusterOptions:
    return ClusterOptions(engine=engine, application=APPLICATION_SETTINGS)


BACK_END_SCENARIOS = (
    Scenario(
        "engine-leaving",
        ("leaving",),
        "the platform lists an engine as leaving, late",
        engine_leaving,
    ),
    Scenario("engine-drained", ("leaving",), "an operator drains an engine", engine_drained),
    Scenario(
        "engine-restarted",
        ("answers", "memory"),
        "engines restart with their memory gone while they stream",
        engine_restarted,
        options=_engine_options(SLOW_ENGINE),
    ),
    Scenario(
        "engine-versions",
        ("answers",),
        "engines of two software versions restart while they stream, some as the other version",
        engine_versions,
        plan=FleetPlan(engines=4),
        options=ClusterOptions(
            engine=SLOW_ENGINE,
            application=APPLICATION_SETTINGS,
            engine_versions=SOFTWARE_VERSIONS,
        ),
    ),
    Scenario(
        "engine-versions-unchecked",
        ("answers",),
        "the same with engines that continue the answers of any version",
        engine_versions,
        plan=FleetPlan(engines=4),
        options=ClusterOptions(
            engine=UNCHECKING_ENGINE,
            application=APPLICATION_SETTINGS,
            engine_versions=SOFTWARE_VERSIONS,
        ),
    ),
    Scenario(
        "engine-streams-break",
        ("answers",),
        "engines break streams off in the middle",
        engine_restarted,
        options=_engine_options(FAULTY_ENGINE),
    ),
    Scenario(
        "engine-streams-without-length",
        ("answers",),
        "engines break off streams without a length inside an event",
        engine_restarted,
        options=_engine_options(CUTTING_ENGINE),
    ),
    Scenario(
        "engine-ends-under-calls",
        ("ended-engines", "answers"),
        "engines end under some calls, while nodes and stores die",
        engine_ends_under_calls,
        plan=FleetPlan(engines=4),
        options=_engine_options(FRAGILE_ENGINE),
        must_answer=0.8,
        may_leave_doubt=True,
    ),
    Scenario(
        "engine-ends-late-under-calls",
        ("ended-engines", "answers"),
        "the same with engines that break the call off and end later",
        engine_ends_under_calls,
        plan=FleetPlan(engines=4),
        options=_engine_options(LATE_ENDING_ENGINE),
        must_answer=0.8,
        may_leave_doubt=True,
    ),
    Scenario(
        "engine-answers-without-end",
        ("answers",),
        "engines restart, and answer some calls with a line without an end",
        engine_restarted,
        options=_engine_options(ENDLESS_ENGINE),
        must_answer=0.9,
    ),
    Scenario(
        "engine-unreachable",
        ("answers", "memory"),
        "an engine is cut off in silence",
        engine_unreachable,
    ),
    Scenario(
        "faulty-application",
        ("not-run", "at-most-once"),
        "tools fail before or after they ran, hang, refuse, or answer twice",
        faulty_application,
        options=ClusterOptions(engine=ENGINE_SETTINGS, application=FAULTY_APPLICATION),
        must_answer=0.5,
    ),
    Scenario(
        "caller-resends-everything",
        ("order", "at-most-once", "answers"),
        "callers send each call several times at once",
        caller_resends_everything,
    ),
    Scenario(
        "calls-sent-together",
        ("order", "answers"),
        "calls of one program arrive at the same time, through different nodes",
        calls_sent_together,
    ),
    Scenario(
        "endless-program",
        ("budget",),
        "a program loops without end",
        endless_program,
        must_answer=0.2,
    ),
    Scenario(
        "budget-over-crashes",
        ("budget", "at-most-once"),
        "small budgets are spent while nodes and stores die",
        budget_over_crashes,
        must_answer=0.1,
    ),
)
