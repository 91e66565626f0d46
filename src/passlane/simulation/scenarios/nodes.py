"""Scenarios about nodes that die, freeze, are cut off or stop as planned."""

import anyio

from passlane.simulation.callers import CallScript, ProgramScript
from passlane.simulation.cluster import Cluster
from passlane.simulation.fleet_plan import FleetPlan
from passlane.simulation.scenarios.base import Scenario, load, pause

UNNAMED_CALLS = 16


async def undisturbed(cluster: Cluster) -> None:
    """Run the load and nothing else."""
    async with load(cluster):
        pass


async def worker_killed_between_turns(cluster: Cluster) -> None:
    """Kill a node while programs pause between their calls; restart it later."""
    node = cluster.random.choice(cluster.plan.node_names())
    scripts = [CallScript(pause_s=3.0), CallScript(is_tool=True, pause_s=6.0), CallScript()]
    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tenant = cluster.plan.tenants[number % 2]
            script = ProgramScript(tenant, scripts)
            tasks.start_soon(cluster.callers.run_program, f"paused-{number}", script)
        await anyio.sleep(5.0)
        cluster.processes[node].kill(power_lost=True, in_silence=cluster.random.random() < 0.5)
        await pause(cluster, 4.0, 10.0)
        cluster.start_process(node)


async def worker_killed_mid_stream(cluster: Cluster) -> None:
    """Kill nodes one after another while they stream answers."""
    async with load(cluster, programs=8):
        for _ in range(2):
            await pause(cluster, 1.0, 3.0)
            node = cluster.random.choice(cluster.plan.node_names())
            cluster.processes[node].kill(in_silence=cluster.random.random() < 0.5)
            await pause(cluster, 3.0, 8.0)
            cluster.start_process(node)


async def node_frozen(cluster: Cluster) -> None:
    """Freeze a node until its lease has passed to others, then let it go on."""
    node = cluster.random.choice(cluster.plan.node_names())
    async with load(cluster):
        await pause(cluster, 1.0, 3.0)
        cluster.processes[node].freeze()
        await pause(cluster, 4.0, 12.0)
        cluster.processes[node].thaw()


async def node_cut_from_store(cluster: Cluster) -> None:
    """Cut a node off from the store group while callers still reach it."""
    node = cluster.random.choice(cluster.plan.node_names())
    async with load(cluster):
        await pause(cluster, 1.0, 3.0)
        cluster.cut_from_store(node)
        await pause(cluster, 4.0, 10.0)
        cluster.heal()


async def one_way_cut(cluster: Cluster) -> None:
    """Let a node hear the others but not be heard, or the other way round."""
    node = cluster.random.choice(cluster.plan.node_names() + cluster.plan.store_names())
    host = cluster.plan.host_of(node)
    others = sorted(set(cluster.plan.zone_of_host()) - {host})
    outgoing = cluster.random.random() < 0.5
    async with load(cluster):
        await pause(cluster, 1.0, 3.0)
        cluster.event_log.record("cut", f"{node} one way, outgoing={outgoing}")
        for other in others:
            if outgoing:
                cluster.network.block(host, other)
            else:
                cluster.network.block(other, host)
        await pause(cluster, 4.0, 15.0)
        cluster.heal()


async def rolling_restart(cluster: Cluster) -> None:
    """Stop and start every process as planned, one after another."""
    async with load(cluster, programs=6, calls=12):
        for name in cluster.plan.node_names() + cluster.plan.store_names():
            await pause(cluster, 0.5, 1.5)
            await cluster.stop_as_planned(name)
            cluster.start_process(name)
            await cluster.wait_ready([name])


async def unnamed_calls(cluster: Cluster) -> None:
    """Send calls without numbers or keys while nodes are cut off from the store or die."""
    calls = [
        CallScript(is_tool=place % 2 == 1, is_named=False, max_tokens=32, pause_s=0.2)
        for place in range(UNNAMED_CALLS)
    ]
    async with anyio.create_task_group() as tasks:
        for number in range(6):
            script = ProgramScript(cluster.plan.tenants[number % 2], calls)
            tasks.start_soon(cluster.callers.run_program, f"unnamed-{number}", script)
        for _ in range(2):
            await pause(cluster, 0.3, 1.5)
            cut, killed = cluster.random.sample(cluster.plan.node_names(), 2)
            cluster.cut_from_store(cut)
            await pause(cluster, 0.5, 4.0)
            cluster.processes[killed].kill(in_silence=cluster.random.random() < 0.5)
            await pause(cluster, 0.0, 2.0)
            cluster.heal()
            cluster.start_process(killed)


async def zone_lost(cluster: Cluster) -> None:
    """Lose every machine of one zone at once and get them back later."""
    zone = cluster.random.choice(cluster.plan.zones)
    lost = [name for name in cluster.processes if cluster.plan.zone_of_name(name) == zone]
    async with load(cluster):
        await pause(cluster, 1.0, 3.0)
        for name in lost:
            cluster.processes[name].kill(power_lost=True, in_silence=True)
        await pause(cluster, 5.0, 15.0)
        for name in lost:
            cluster.start_process(name)


NODE_SCENARIOS = (
    Scenario("undisturbed", ("order", "answers"), "nothing fails", undisturbed),
    Scenario(
        "worker-killed-between-turns",
        ("history", "order"),
        "a node dies while its programs pause",
        worker_killed_between_turns,
        may_leave_doubt=True,
    ),
    Scenario(
        "worker-killed-mid-stream",
        ("answers", "at-most-once", "history"),
        "nodes die while they stream answers",
        worker_killed_mid_stream,
        may_leave_doubt=True,
    ),
    Scenario(
        "node-frozen",
        ("order", "at-most-once", "history"),
        "a node stands still beyond its lease, then goes on",
        node_frozen,
        may_leave_doubt=True,
    ),
    Scenario(
        "node-cut-from-store",
        ("history", "not-run"),
        "a node that callers reach cannot reach the store",
        node_cut_from_store,
        may_leave_doubt=True,
    ),
    Scenario(
        "one-way-cut",
        ("configuration", "history", "order"),
        "a process hears others but is not heard, or the reverse",
        one_way_cut,
        may_leave_doubt=True,
    ),
    Scenario(
        "rolling-restart",
        ("planned-stop", "history", "configuration"),
        "every process is restarted as planned, one after another",
        rolling_restart,
    ),
    Scenario(
        "unnamed-calls",
        ("not-run", "order"),
        "callers give no keys, while nodes are cut off from the store or die",
        unnamed_calls,
        must_answer=0.3,
    ),
    Scenario(
        "zone-lost",
        ("history", "answers"),
        "all machines of a zone vanish at once",
        zone_lost,
        may_leave_doubt=True,
    ),
    Scenario(
        "clocks-drift",
        ("order", "at-most-once"),
        "clocks run up to four percent fast or slow while a node freezes",
        node_frozen,
        plan=FleetPlan(clock_rates={"node-0": 0.96, "node-1": 1.04, "store-0": 1.04}),
        may_leave_doubt=True,
    ),
)
