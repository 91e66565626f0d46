"""Results of the storage experiments, and how rates and percentiles are taken."""

import time
from dataclasses import dataclass, field

import msgspec
from hdrh.histogram import HdrHistogram

_LOWEST_MICROS = 1
_HIGHEST_MICROS = 60_000_000
_DIGITS = 3
_MICROS = 1_000_000
_MILLIS = 1_000


class AppendResult(msgspec.Struct, frozen=True):
    """Appends under a steady number of callers.

    ``cpu_s_per_append`` is of the whole process, so with several replicas in it divide by
    their number; ``bytes_per_append`` is what one replica writes.
    """

    name: str
    replicas: int
    callers: int
    payload_bytes: int
    appends: int
    appends_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_s_per_append: float
    bytes_per_append: float
    syncs: int


class LoopStallResult(msgspec.Struct, frozen=True):
    """How late a timer of the loop fires while the log is synced."""

    name: str
    p50_ms: float
    p99_ms: float
    longest_ms: float


class RestartResult(msgspec.Struct, frozen=True):
    """Time from opening the files until the state is as before."""

    name: str
    entries: int
    payload_bytes: int
    disk_bytes: int
    open_s: float
    apply_s: float


class StateResult(msgspec.Struct, frozen=True):
    """What a snapshot of the store's state costs, by the size of the state.

    A stall is how late a timer of the loop fires. ``append_p99_ms`` is of synced appends
    to a log on the same disk; ``quiet`` figures were taken just before. ``extra_bytes``
    is how much the resident memory grew while the snapshot was taken.
    """

    name: str
    programs: int
    tokens_per_program: int
    snapshot_bytes: int
    snapshot_s: float
    quiet_longest_stall_ms: float
    longest_stall_ms: float
    p99_stall_ms: float
    quiet_append_p99_ms: float
    append_p99_ms: float
    extra_bytes: int
    restore_s: float
    restore_longest_stall_ms: float


class StorageReport(msgspec.Struct, frozen=True):
    """Experiments on the log and on groups in one run, and the ratios between them."""

    appends: tuple[AppendResult, ...]
    stalls: tuple[LoopStallResult, ...]
    restarts: tuple[RestartResult, ...]
    ratios: dict[str, float]


class StateReport(msgspec.Struct, frozen=True):
    """Snapshots of one run, by the size of the state."""

    states: tuple[StateResult, ...]


@dataclass(slots=True)
class Stopwatch:
    """Counts operations with their latency, and the time and processor time they took."""

    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(_LOWEST_MICROS, _HIGHEST_MICROS, _DIGITS)
    )
    count: int = 0
    started: float = field(default_factory=time.perf_counter)
    cpu_started: float = field(default_factory=time.process_time)

    def note(self, latency_s: float) -> None:
        """Count one operation."""
        self.count += 1
        self.histogram.record_value(max(_LOWEST_MICROS, int(latency_s * _MICROS)))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        micros: int = self.histogram.get_value_at_percentile(percentile)
        return micros / _MILLIS

    def append_result(
        self,
        name: str,
        *,
        replicas: int,
        callers: int,
        payload_bytes: int,
        written: int,
        syncs: int,
    ) -> AppendResult:
        """Return the result of an append experiment that ends now."""
        elapsed_s = time.perf_counter() - self.started
        cpu_s = time.process_time() - self.cpu_started
        return AppendResult(
            name=name,
            replicas=replicas,
            callers=callers,
            payload_bytes=payload_bytes,
            appends=self.count,
            appends_per_s=round(self.count / elapsed_s, 1),
            p50_ms=self.percentile_ms(50),
            p99_ms=self.percentile_ms(99),
            cpu_s_per_append=cpu_s / self.count,
            bytes_per_append=round(written / self.count, 1),
            syncs=syncs,
        )
