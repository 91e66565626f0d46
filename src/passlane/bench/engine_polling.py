"""Bytes and processor time of polling one engine, by the polls a second.

A process of its own serves the emulated engine; this process polls it with the node's
own client over TCP on the loopback interface.
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import msgspec
from msgspec.structs import replace

from passlane.backends.engine_client import EngineClient
from passlane.backends.failures import BackendError
from passlane.bench.hollow import CountingNetwork
from passlane.bench.loopback import free_address
from passlane.bench.report_files import write_report
from passlane.bench.straight_line import Line, Point, fit_line
from passlane.messages.common import Address
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.real import build_environment

POLLS_PER_SECOND_POINTS = (2, 5, 10, 20, 40)
MEASURED_S = 5.0
READY_S = 10.0
READY_STEP_S = 0.05
STOP_S = 10.0
REPORT_FILE = "engine-polling.json"


class PollingPoint(msgspec.Struct, frozen=True):
    """What one run measured; a poll asks for the load, as the node does without news."""

    polls_per_s: float
    bytes_per_s: float
    core_fraction: float


class PollingReport(msgspec.Struct, frozen=True):
    """All runs and the lines through them; each slope is per poll a second."""

    measured_s: float
    points: tuple[PollingPoint, ...]
    node_bytes: Line
    node_core: Line


def _start_engine(address: Address, folder: Path) -> "subprocess.Popen[bytes]":
    """Start an emulated engine as a process of its own."""
    settings = folder / "engine.toml"
    settings.write_text(f'name = "engine-1"\nlisten = "{address}"\n')
    return subprocess.Popen(
        [sys.executable, "-m", "passlane.emulator.main", "engine", "--settings", str(settings)]
    )


async def _wait_until_ready(client: EngineClient) -> None:
    with anyio.fail_after(READY_S):
        while True:
            try:
                await client.read_load()
                return
            except BackendError:
                await anyio.sleep(READY_STEP_S)


async def _measure(address: Address, polls_per_s: float) -> PollingPoint:
    environment = build_environment(Path("unused"), seed=1)
    network = CountingNetwork(environment.network)
    environment = replace(environment, http_client=SingleConnectionHttpClient(network))
    client = EngineClient(environment.http_client, address)
    await _wait_until_ready(client)
    bytes_began, cpu_began, began = network.bytes, time.process_time(), time.monotonic()
    polls = int(polls_per_s * MEASURED_S)
    for number in range(polls):
        await client.read_load()
        due = began + (number + 1) / polls_per_s
        await anyio.sleep(max(0.0, due - time.monotonic()))
    elapsed_s = time.monotonic() - began
    return PollingPoint(
        polls_per_s=polls / elapsed_s,
        bytes_per_s=(network.bytes - bytes_began) / elapsed_s,
        core_fraction=(time.process_time() - cpu_began) / elapsed_s,
    )


def measure_polling() -> PollingReport:
    """Run all points and return them with their lines."""
    address = free_address()
    with tempfile.TemporaryDirectory() as folder:
        engine = _start_engine(address, Path(folder))
        try:
            points = [anyio.run(_measure, address, rate) for rate in POLLS_PER_SECOND_POINTS]
        finally:
            engine.terminate()
            engine.wait(STOP_S)
    return PollingReport(
        measured_s=MEASURED_S,
        points=tuple(points),
        node_bytes=_line("bytes of polling", "bytes/s", points, "bytes_per_s"),
        node_core=_line("core of polling", "core", points, "core_fraction"),
    )


def _line(name: str, unit: str, points: list[PollingPoint], attribute: str) -> Line:
    measured = [Point(point.polls_per_s, getattr(point, attribute)) for point in points]
    return fit_line(name, "polls/s", unit, measured)


def run(report: Path | None) -> int:
    """Measure, print and write ``engine-polling.json``."""
    result = measure_polling()
    for point in result.points:
        print(
            f"{point.polls_per_s:5.1f} polls/s: {point.bytes_per_s:7.0f} bytes/s, "
            f"{point.core_fraction:.3%} of a core"
        )
    for line in (result.node_bytes, result.node_core):
        print(line.to_text())
    write_report(report, REPORT_FILE, result)
    return 0
