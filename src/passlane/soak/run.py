"""Runs a soak: starts the processes, lets load and faults go on, checks, reports."""

import signal
import tempfile
from collections import Counter
from collections.abc import Mapping
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.bench.report_files import write_report
from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.messages.common import Address
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.runtime.http_server import UvicornHttpServer
from passlane.runtime.interfaces import HttpServer
from passlane.runtime.network import TcpNetwork
from passlane.soak.back_ends import SmallSendBuffers, StandInList
from passlane.soak.callers import Callers
from passlane.soak.calm import CalmChecks
from passlane.soak.client import SoakClient
from passlane.soak.configuration import LIMIT, ZONE
from passlane.soak.crowds import MemoryWatch
from passlane.soak.evidence import keep_evidence
from passlane.soak.faults import FaultKind, FaultPace, Faults
from passlane.soak.harmful import Disturbances, EndingBackEnds, HarmfulCallers, HarmfulWay
from passlane.soak.kept_turns import KeptDialogues, StoreWatch
from passlane.soak.ledger import Ledger
from passlane.soak.machines import DAEMON, Machine, Machines, daemon_of, loopback_network
from passlane.soak.profiles import USUAL, SoakProfile, profile_named
from passlane.soak.programs import Load
from passlane.soak.report import SoakReport, print_report
from passlane.soak.stream_checks import StreamChecks
from passlane.soak.streams import StreamCallers
from passlane.soak.surroundings import (
    PLATFORM_PORT,
    proxies_before,
    set_versions,
    stand_ins,
)
from passlane.soak.tallies import Tallies
from passlane.soak.watch import Watch

EXIT_OK = 0
EXIT_FAILED = 1
REPORT_FILE = "soak.json"
RING_LINES = 2_000
START_TIMEOUT_S = 60.0
"""All processes import their code at the same time, on a machine that may be busy."""
LIST_HOST = 200


class SoakSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a soak is asked for.

    Attributes
    ----------
    folder
        Holds settings, output and data of the processes.
    daemon
        Command line that starts any of the daemons.
    older_daemon
        Command line that starts any of the daemons of an older build. Every second process begins
        as one of it, and they are replaced one after the other under load; empty for none.
    profile
        What kind of soak it is.
    fault_kinds
        Faults that may be drawn in place of the profile's; ``None`` for those.
    stops_at_finding
        Whether the first finding ends the soak.
    """

    seed: int
    load_s: float
    folder: Path
    daemon: tuple[str, ...] = DAEMON
    older_daemon: tuple[str, ...] = ()
    profile: SoakProfile = USUAL
    fault_kinds: tuple[FaultKind, ...] | None = None
    stops_at_finding: bool = False


class Soak:
    """One soak and its parts."""

    def __init__(self, settings: SoakSettings) -> None:
        self._settings = settings
        seed = settings.seed
        network = loopback_network()
        self._list_address = Address(f"{network}.{LIST_HOST}", PLATFORM_PORT)
        profile = settings.profile
        self.machines = Machines(
            network, settings.folder, self._list_address, settings.daemon, profile.processes
        )
        self._ledger = Ledger(LIMIT, anyio.current_time())
        self._tallies = Tallies()
        client = SoakClient()
        self._watch = Watch(self.machines, self._ledger, client, seed)
        self._engines, self._back_ends = stand_ins(network, self._ledger)
        if profile.has_versions:
            set_versions(self._engines)
        self._callers = Callers(
            self._ledger,
            client,
            self._watch,
            self._tallies,
            seed,
            keeps_connections=profile.keeps_connections,
        )
        self._proxies = proxies_before(network, self._back_ends)
        addresses = [proxy.address for proxy in self._proxies]
        self._listing = StandInList(self._back_ends, addresses, ZONE)
        self._faults = Faults(
            self.machines, self._back_ends, self._proxies, self._listing, self._ledger, seed
        )
        self._streams = StreamCallers(self._callers, self._ledger, self._tallies, seed)
        self._dialogues = KeptDialogues(self._callers, self._ledger, seed)
        self._store_watch = StoreWatch(self.machines, self._faults, client, self._ledger, seed)
        self._harmful: HarmfulCallers | None = None
        self._calm: CalmChecks | None = None
        self._was_interrupted = False

    async def run(self) -> SoakReport:
        """Run to the end, or until a signal; no process outlives it."""
        try:
            async with anyio.create_task_group() as tasks:
                if self._settings.stops_at_finding:
                    self._ledger.on_finding = tasks.cancel_scope.cancel
                tasks.start_soon(self._take_signals, tasks)
                self._serve(tasks)
                if self._settings.profile.has_harmful:
                    self._prepare_harmful(tasks)
                if self._settings.profile.watches_memory:
                    watch = MemoryWatch(self.machines.all, self._ledger)
                    tasks.start_soon(watch.run)
                for machine in self._older_machines():
                    machine.daemon = self._settings.older_daemon
                for machine in self.machines.all:
                    self.machines.start(machine)
                await self._run_phases(tasks)
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._stop_machines()
        return self._report()

    def _prepare_harmful(self, tasks: TaskGroup) -> None:
        """Let back ends end under harmful requests."""
        disturbances = Disturbances(self.machines, self._faults.struck)
        tasks.start_soon(disturbances.run)
        proxies = {proxy.name: proxy for proxy in self._proxies}
        has_all_ways = self._settings.profile.has_unseen_ends
        ways = tuple(HarmfulWay) if has_all_ways else (HarmfulWay.AT_ONCE,)
        ending = EndingBackEnds(tasks, proxies, self._ledger, disturbances.are_recent, ways)
        for back_end in self._back_ends:
            back_end.on_harmful = ending.end_under
        self._harmful = HarmfulCallers(self._callers, self._ledger, ending, self._settings.seed)

    def _older_machines(self) -> list[Machine]:
        """Return the machines that begin with the older build: every second one, of each role."""
        return self.machines.all[::2] if self._settings.older_daemon else []

    async def _upgrade(self) -> None:
        """Replace the processes of the older build, one after the other over the time of load."""
        older = self._older_machines()
        for machine in older:
            await anyio.sleep(self._settings.load_s / (len(older) + 1))
            await self._faults.replace(machine, self._settings.daemon)

    def _serve(self, tasks: TaskGroup) -> None:
        tasks.start_soon(UvicornHttpServer().serve, self._list_address, self._listing)
        server = self._back_end_server()
        for back_end in self._back_ends:
            tasks.start_soon(server.serve, back_end.address, back_end)
        for proxy in self._proxies:
            tasks.start_soon(proxy.run)

    def _back_end_server(self) -> HttpServer:
        """Return the server of engines and plain back ends."""
        if FaultKind.WITHOUT_LENGTH in self._pace().kinds:
            return ByteStreamHttpServer(TcpNetwork())
        return UvicornHttpServer(SmallSendBuffers())

    async def _take_signals(self, tasks: TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for number in signals:
                print(f"interrupted by signal {int(number)}")
                self._was_interrupted = True
                tasks.cancel_scope.cancel()
                return

    async def _run_phases(self, tasks: TaskGroup) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            await self._watch.put_next()
            tasks.start_soon(self._watch.run)
            await self._watch.wait_until(self._watch.all_ready)
        is_ready = self._watch.all_ready()
        now = anyio.current_time()
        self._ledger.check("ready-at-first", is_ready, "", "a node did not become ready", now)
        if not is_ready:
            return
        print("all nodes are ready; load begins")
        async with anyio.create_task_group() as changes:
            changes.start_soon(self._watch.change_configuration)
            await self._disturb_load()
            changes.cancel_scope.cancel()
        print("load and faults have ended")
        calm = CalmChecks(
            self._callers, self._ledger, self._watch, self._engines, self._settings.seed
        )
        self._calm = calm
        await calm.run()
        if self._harmful is not None:
            await self._harmful.check_calm()
        if self._settings.profile.has_versions:
            await StreamChecks(self._streams, self._ledger, self._engines).run()
        self._check_shares()

    async def _disturb_load(self) -> None:
        """Let load and faults go on together; return when both have ended."""
        load = Load(self._callers, self._ledger, self._tallies, self._settings.seed)
        ending = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._upgrade)
            pace = self._pace()
            if pace.kinds:
                tasks.start_soon(self._faults.run, ending, pace)
            if self._settings.profile.has_kept_turns:
                tasks.start_soon(self._disturb_stores, ending)
            async with anyio.create_task_group() as loads:
                loads.start_soon(load.run, self._settings.load_s)
                if self._settings.profile.has_versions:
                    loads.start_soon(self._streams.run, loads, self._settings.load_s)
                if self._harmful is not None:
                    loads.start_soon(self._harmful.run, loads, self._settings.load_s)
                if self._settings.profile.has_kept_turns:
                    loads.start_soon(self._dialogues.run, loads, self._settings.load_s)
            ending.set()

    async def _disturb_stores(self, ending: anyio.Event) -> None:
        """Watch the stores and restart their leaders until the load has ended."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._store_watch.run)
            tasks.start_soon(self._store_watch.restart_leaders)
            await ending.wait()
            tasks.cancel_scope.cancel()
        self._store_watch.check_progress()

    def _pace(self) -> FaultPace:
        profile, kinds = self._settings.profile, self._settings.fault_kinds
        return FaultPace(
            kinds=profile.fault_kinds if kinds is None else kinds,
            gap_s=(profile.shortest_gap_s, profile.longest_gap_s),
            overlaps=profile.overlaps,
        )

    def _check_shares(self) -> None:
        starved = self._tallies.starved_kinds()
        detail = f"programs by outcome: {_plain(self._tallies.programs)}"
        self._ledger.check(
            "no-kind-starves", not starved, ", ".join(starved), detail, anyio.current_time()
        )

    async def _stop_machines(self) -> None:
        """Ask all processes to stop, and kill those that don't."""
        async with anyio.create_task_group() as tasks:
            for machine in self.machines.all:
                if machine.is_running:
                    tasks.start_soon(self.machines.stop, machine, self._ledger)

    def _report(self) -> SoakReport:
        ledger = self._ledger
        return SoakReport(
            seed=self._settings.seed,
            load_s=self._settings.load_s,
            programs=_plain(self._tallies.programs),
            answers=_plain(self._tallies.answers),
            faults=dict(sorted(self._faults.counts.items())),
            checks=dict(sorted(ledger.checks.items())),
            findings=tuple(ledger.findings),
            finding_count=ledger.finding_count,
            was_interrupted=self._was_interrupted,
            full_sets=tuple(self._calm.rounds) if self._calm is not None else (),
            fault_times=tuple(self._faults.times),
        )


def _plain(counts: Mapping[str, Counter[str]]) -> dict[str, dict[str, int]]:
    return {name: dict(sorted(counter.items())) for name, counter in sorted(counts.items())}


async def run_soak(settings: SoakSettings) -> SoakReport:
    """Run one soak and return its report; whatever happens, its processes end.

    After a finding the logs and times by which it can be traced outlive the folder.
    """
    soak = Soak(settings)
    try:
        report = await soak.run()
    finally:
        soak.machines.end_all()
    if report.has_passed or settings.stops_at_finding:
        return report
    report = keep_evidence(report, settings.folder, REPORT_FILE)
    print(f"logs and times are kept in {report.kept_logs}")
    return report


def run(
    seed: int,
    load_s: float,
    report_folder: Path | None,
    older: Path | None = None,
    profile: str = USUAL.name,
) -> int:
    """Run a soak, print what came of it, and return the exit code.

    Parameters
    ----------
    report_folder
        Gets ``soak.json`` and the folder of the processes; ``None`` keeps neither.
    older
        Checkout with the installation of an older build; see ``SoakSettings.older_daemon``.
    profile
        Name of the kind of soak, see ``soak.profiles``.
    """
    configure_logging(RingLog(RING_LINES))
    with tempfile.TemporaryDirectory(prefix="passlane-soak-") as scratch:
        parent = report_folder or Path(scratch)
        folder = parent / "processes"
        folder.mkdir(parents=True)
        older_daemon = daemon_of(older) if older is not None else ()
        settings = SoakSettings(
            seed=seed,
            load_s=load_s,
            folder=folder,
            older_daemon=older_daemon,
            profile=profile_named(profile),
        )
        report = anyio.run(run_soak, settings)
    print_report(report)
    write_report(report_folder, REPORT_FILE, report)
    return EXIT_OK if report.has_passed else EXIT_FAILED
