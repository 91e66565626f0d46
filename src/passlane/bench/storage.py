"""Storage experiments: ``passlane bench run storage`` and ``storage-state``.

All run on the real disk below a temporary folder in the working directory, so that
they measure the disk that a data folder would be on. Ratios are taken within one run.
"""

import tempfile
from pathlib import Path

import anyio
import msgspec

from passlane.bench.storage_group import measure_group_appends
from passlane.bench.storage_log import (
    measure_log_appends,
    measure_loop_stalls,
    measure_restart,
)
from passlane.bench.storage_results import (
    AppendResult,
    LoopStallResult,
    RestartResult,
    StateReport,
    StateResult,
    StorageReport,
)
from passlane.bench.storage_state import measure_state

CALLERS = (1, 64)
PAYLOAD_BYTES = (100, 500, 5_000)
USUAL_PAYLOAD_BYTES = 500
DURATION_S = 2.0
REPLICAS = (1, 3)
RESTART_ENTRIES = (10_000, 50_000, 100_000)
TAIL_ENTRIES = 1_000
STATE_PROGRAMS = (25, 100, 400, 1_000, 2_000)
"""The last is a region's share: 10,000 programs over five regions."""
MOST_PROGRAMS_IN_ONE_GO = 1_000
TOKENS_PER_PROGRAM = 200_000


async def _measure_appends(root: Path) -> list[AppendResult]:
    """Measure the log with and without group commit, then groups of replicas."""
    results = []
    for callers in CALLERS:
        for group_commit in (False, True):
            result = await measure_log_appends(
                root,
                group_commit=group_commit,
                callers=callers,
                payload_bytes=USUAL_PAYLOAD_BYTES,
                duration_s=DURATION_S,
            )
            results.append(result)
        for replicas in REPLICAS:
            sizes = PAYLOAD_BYTES if callers > 1 else (USUAL_PAYLOAD_BYTES,)
            for payload_bytes in sizes:
                result = await measure_group_appends(
                    root,
                    replicas=replicas,
                    callers=callers,
                    payload_bytes=payload_bytes,
                    duration_s=DURATION_S,
                )
                results.append(result)
    return results


async def _measure_stalls(root: Path) -> list[LoopStallResult]:
    """Measure the loop's lateness with syncs on it and beside it."""
    return [
        await measure_loop_stalls(
            root,
            syncs_on_loop=syncs_on_loop,
            callers=max(CALLERS),
            payload_bytes=USUAL_PAYLOAD_BYTES,
            duration_s=DURATION_S,
        )
        for syncs_on_loop in (True, False)
    ]


async def _measure_restarts(root: Path) -> list[RestartResult]:
    """Measure restarts by the log's length, without and with a snapshot."""
    results = []
    for entries in RESTART_ENTRIES:
        for snapshot_at in (0, entries - TAIL_ENTRIES):
            result = await measure_restart(
                root,
                entries=entries,
                payload_bytes=USUAL_PAYLOAD_BYTES,
                snapshot_at=snapshot_at,
            )
            results.append(result)
    return results


def _usual_append(results: list[AppendResult], name: str) -> AppendResult:
    """Return the result of many callers with the usual payload."""
    return next(
        result
        for result in results
        if result.name == name
        and result.callers == max(CALLERS)
        and result.payload_bytes == USUAL_PAYLOAD_BYTES
    )


def storage_ratios(
    appends: list[AppendResult], stalls: list[LoopStallResult], restarts: list[RestartResult]
) -> dict[str, float]:
    """Return the ratios that the design rests on."""
    alone = _usual_append(appends, "a sync for each append")
    together = _usual_append(appends, "group commit")
    one = _usual_append(appends, "one replica")
    three = _usual_append(appends, "3 replicas")
    on_loop, beside = stalls
    log_only, with_snapshot = restarts[-2:]
    return {
        "appends_per_s, group commit over a sync each": round(
            together.appends_per_s / alone.appends_per_s, 2
        ),
        "p99, group commit over a sync each": round(together.p99_ms / alone.p99_ms, 3),
        "appends_per_s, three replicas over one": round(three.appends_per_s / one.appends_per_s, 2),
        "p99, three replicas over one": round(three.p99_ms / one.p99_ms, 2),
        "p99 lateness, sync on a thread over on the loop": round(beside.p99_ms / on_loop.p99_ms, 3),
        "restart, with snapshot over log only": round(with_snapshot.open_s / log_only.open_s, 3),
    }


async def measure_storage(root: Path) -> StorageReport:
    """Run the experiments on appends, stalls and restarts below ``root``."""
    appends = await _measure_appends(root)
    stalls = await _measure_stalls(root)
    restarts = await _measure_restarts(root)
    return StorageReport(
        appends=tuple(appends),
        stalls=tuple(stalls),
        restarts=tuple(restarts),
        ratios=storage_ratios(appends, stalls, restarts),
    )


async def measure_states(root: Path) -> StateReport:
    """Run the experiments on snapshots of growing state below ``root``."""
    states: list[StateResult] = []
    for programs in STATE_PROGRAMS:
        for in_parts in (False, True):
            if not in_parts and programs > MOST_PROGRAMS_IN_ONE_GO:
                continue
            result = await measure_state(
                root,
                programs=programs,
                tokens_per_program=TOKENS_PER_PROGRAM,
                in_parts=in_parts,
            )
            states.append(result)
    return StateReport(states=tuple(states))


def _write(report: msgspec.Struct, folder: Path | None, name: str) -> None:
    """Print a report, and write it to ``folder`` if one is given."""
    text = msgspec.json.format(msgspec.json.encode(report))
    print(text.decode())
    if folder is not None:
        (folder / f"{name}.json").write_bytes(text)


def run(folder: Path | None) -> int:
    """Measure appends, stalls of the loop and restarts."""
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as root:
        _write(anyio.run(measure_storage, Path(root)), folder, "storage")
    return 0


def run_states(folder: Path | None) -> int:
    """Measure snapshots of growing state; takes a few gigabytes of memory."""
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as root:
        _write(anyio.run(measure_states, Path(root)), folder, "storage-state")
    return 0
