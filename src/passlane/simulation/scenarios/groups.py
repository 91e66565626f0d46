"""Scenarios about the replicated groups: leaders cut off, machines and disks lost."""

import anyio
import msgspec

from passlane.simulation.cluster import Cluster
from passlane.simulation.fleet_plan import GROUP, FleetPlan
from passlane.simulation.scenarios.base import (
    CHANGED_KIND,
    Scenario,
    load,
    numbered_document,
    pause,
    wait_for_leader,
)

CHANGES_PASSED_BY = 200
CHANGES_RESENT = 4
RACED = f"{CHANGED_KIND}/raced"


async def _change_configuration(cluster: Cluster, count: int, name: str = "extra") -> int:
    """Submit one version of a document after another; return the last version."""
    version = 0
    for number in range(count):
        change = await cluster.operators.change(
            CHANGED_KIND,
            name,
            numbered_document(number),
            version,
            f"{name}-{number}",
            wait=number == count - 1,
        )
        version = change.version or version
    return version


async def control_leader_cut_off(cluster: Cluster) -> None:
    """Cut the leader of both groups off in silence for minutes, then let it come back."""
    leader = await wait_for_leader(cluster, "control")
    async with load(cluster):
        await pause(cluster, 0.5, 2.0)
        cluster.cut_off([leader])
        await _change_configuration(cluster, 3)
        await anyio.sleep(120.0)
        cluster.heal()
        await _change_configuration(cluster, 2, name="after-heal")


async def store_leader_killed(cluster: Cluster) -> None:
    """Kill the store's leader again and again under load."""
    async with load(cluster, calls=8):
        for _ in range(3):
            await pause(cluster, 0.5, 3.0)
            leader = await wait_for_leader(cluster, "store")
            silent = cluster.random.random() < 0.5
            cluster.processes[leader].kill(power_lost=True, in_silence=silent)
            await pause(cluster, 3.0, 6.0)
            cluster.start_process(leader)
            await cluster.wait_ready([leader])


async def store_leaders_restarted_in_series(cluster: Cluster) -> None:
    """Kill whoever leads the stores every second or so, while calls have large bodies."""
    async with load(cluster, calls=5, padding_bytes=PADDING_BYTES):
        for _ in range(8):
            await pause(cluster, 0.3, 1.5)
            leader = await wait_for_leader(cluster, "store")
            cluster.processes[leader].kill(power_lost=cluster.random.random() < 0.5)
            await pause(cluster, 0.2, 1.0)
            cluster.start_process(leader)
            await cluster.wait_ready([leader])


async def second_machine_lost_after_repair(cluster: Cluster) -> None:
    """Wipe one replica, and lose a second machine right after the first came back."""
    first, second, _ = cluster.random.sample(cluster.plan.store_names(), 3)
    async with load(cluster, calls=8):
        await pause(cluster, 1.0, 3.0)
        cluster.processes[first].kill(power_lost=True)
        cluster.processes[first].disk.wipe()
        await pause(cluster, 2.0, 4.0)
        cluster.start_process(first)
        await cluster.wait_ready([first])
        await pause(cluster, 0.0, 0.5)
        cluster.processes[second].kill(power_lost=True, in_silence=True)
        await pause(cluster, 3.0, 10.0)
        cluster.start_process(second)


async def restart_after_many_changes(cluster: Cluster) -> None:
    """Restart processes after hundreds of changes have passed them by."""
    store = cluster.random.choice(cluster.plan.store_names())
    node = cluster.random.choice(cluster.plan.node_names())
    cluster.processes[store].kill(power_lost=True)
    cluster.processes[node].kill()
    async with load(cluster, programs=4):
        await _change_configuration(cluster, CHANGES_PASSED_BY)
        cluster.start_process(store)
        cluster.start_process(node)
        await cluster.wait_ready([store, node])
        await _change_configuration(cluster, 2, name="after-restart")


async def racing_operators(cluster: Cluster) -> None:
    """Let two operators submit different changes for the same version at once."""
    async with load(cluster, programs=3):
        version = 0
        for round_number in range(6):
            async with anyio.create_task_group() as tasks:
                for number, operator in enumerate(("ann", "bob")):
                    body = numbered_document(10 * round_number + number)
                    key = f"{operator}-{round_number}"
                    tasks.start_soon(_race, cluster, body, version, key)
            made = [c.version for c in cluster.observations.changes if c.name == RACED]
            version = max((number for number in made if number), default=version)


async def _race(cluster: Cluster, body: object, version: int, key: str) -> None:
    await cluster.operators.change(CHANGED_KIND, "raced", body, version, key, wait=False)


async def resend_after_lost_answer(cluster: Cluster) -> None:
    """Lose answers to operators and have them sent again, also after a change of leader."""
    async with load(cluster, programs=3):
        for number in range(CHANGES_RESENT):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_change_once, cluster, number)
                await pause(cluster, 0.0, 0.05)
                if cluster.random.random() < 0.5:
                    for store in cluster.plan.store_names():
                        cluster.network.break_connections(cluster.plan.host_of(store))
                else:
                    leader = await wait_for_leader(cluster, "control")
                    cluster.processes[leader].kill(power_lost=True)
                    await pause(cluster, 1.0, 3.0)
                    cluster.start_process(leader)
            await _change_once(cluster, number)
    for name in cluster.plan.store_names():
        # Each replica starts again from its snapshot before it is asked once more.
        cluster.processes[name].kill(power_lost=True)
        cluster.start_process(name)
    for number in range(CHANGES_RESENT):
        await _change_once(cluster, number)


async def _change_once(cluster: Cluster, number: int) -> None:
    name = f"resent-{number}"
    await cluster.operators.change(CHANGED_KIND, name, numbered_document(number), 0, name)


async def power_lost_everywhere(cluster: Cluster) -> None:
    """Cut the power of all machines at once: what was not synced is lost or torn."""
    async with load(cluster):
        await pause(cluster, 1.0, 4.0)
        for process in cluster.processes.values():
            process.kill(power_lost=True)
        await pause(cluster, 1.0, 3.0)
        for name in cluster.processes:
            cluster.start_process(name)


async def bit_flipped(cluster: Cluster) -> None:
    """Flip a bit in the middle of a replica's log and restart it."""
    store = cluster.random.choice(cluster.plan.store_names())
    process = cluster.processes[store]
    async with load(cluster):
        await pause(cluster, 2.0, 4.0)
        process.kill(power_lost=True)
        names = [name for name in process.disk.file_names() if process.disk.read(name)]
        damaged = cluster.random.choice(names)
        process.disk.flip_bit(damaged, cluster.random.randrange(len(process.disk.read(damaged))))
        cluster.event_log.record("flip", f"{store} {damaged}")
        await pause(cluster, 0.5, 2.0)
        cluster.start_process(store)


async def disk_full(cluster: Cluster) -> None:
    """Fill the disks of all replicas for a while, then give them space again."""
    async with load(cluster):
        await pause(cluster, 0.5, 2.0)
        for store in cluster.plan.store_names():
            disk = cluster.processes[store].disk
            disk.capacity_bytes = disk.used_bytes() + cluster.random.randrange(2_000)
        cluster.event_log.record("disk", "full everywhere")
        await pause(cluster, 5.0, 10.0)
        for store in cluster.plan.store_names():
            cluster.processes[store].disk.capacity_bytes = None
        cluster.event_log.record("disk", "space again")


PADDING_BYTES = 20_000
LOG_OF_FEW_BODIES = msgspec.structs.replace(
    GROUP, large_log_bytes=3 * PADDING_BYTES, segment_bytes=2 * PADDING_BYTES
)
"""Snapshots are due by bytes, long before the number of entries."""
SNAPSHOTS_OFTEN = msgspec.structs.replace(GROUP, snapshot_every_entries=10)

GROUP_SCENARIOS = (
    Scenario(
        "control-leader-cut-off",
        ("configuration", "history"),
        "the leader of both groups is cut off in silence for two minutes",
        control_leader_cut_off,
        may_leave_doubt=True,
    ),
    Scenario(
        "store-leader-killed",
        ("history", "order", "at-most-once"),
        "the store's leader dies three times under load",
        store_leader_killed,
        may_leave_doubt=True,
    ),
    Scenario(
        "store-leaders-in-series",
        ("history", "order", "at-most-once"),
        "store leaders die every second or so while calls have large bodies",
        store_leaders_restarted_in_series,
        plan=FleetPlan(group=LOG_OF_FEW_BODIES),
        may_leave_doubt=True,
    ),
    Scenario(
        "second-machine-lost-after-repair",
        ("history", "configuration"),
        "a replica is wiped, and a second machine is lost right after the repair",
        second_machine_lost_after_repair,
        may_leave_doubt=True,
    ),
    Scenario(
        "restart-after-many-changes",
        ("configuration",),
        "processes restart after hundreds of changes have passed them by",
        restart_after_many_changes,
        may_leave_doubt=True,
    ),
    Scenario(
        "racing-operators",
        ("configuration",),
        "two operators submit different changes with equal versions",
        racing_operators,
    ),
    Scenario(
        "resend-after-lost-answer",
        ("configuration",),
        "answers to operators are lost and the changes are sent again",
        resend_after_lost_answer,
        plan=FleetPlan(group=SNAPSHOTS_OFTEN),
        may_leave_doubt=True,
    ),
    Scenario(
        "power-lost-everywhere",
        ("history", "budget", "at-most-once", "configuration"),
        "all machines lose power at once, with torn writes",
        power_lost_everywhere,
        may_leave_doubt=True,
    ),
    Scenario(
        "bit-flipped",
        ("history", "configuration"),
        "a bit of a replica's files flips",
        bit_flipped,
        may_leave_doubt=True,
    ),
    Scenario(
        "disk-full",
        ("not-run", "history"),
        "the disks of all replicas fill up",
        disk_full,
        may_leave_doubt=True,
    ),
)
