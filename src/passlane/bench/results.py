"""What scheduling experiments measure, and how it is printed."""

from collections.abc import Callable, Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from passlane.bench.baselines import Strategy
from passlane.bench.virtual_client import ProgramResult
from passlane.bench.virtual_fleet import Scenario

MICROSECONDS = 1_000_000
MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3


class Latency(msgspec.Struct, frozen=True):
    """Percentiles of program latency in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float


class RunResult(msgspec.Struct, frozen=True):
    """What one run measured.

    Attributes
    ----------
    program, victims
        Latency of all measured programs, and of those that began after the scenario's
        disturbance, are not the flooding tenant's and have no hung tool.
    recomputed_tokens, needed_tokens, idle_token_seconds, unused_token_seconds
        Wasted cache; see ``cache_waste``.
    unfinished, failed, refusals
        Programs that had not ended at the limit, programs given up, refusals answered.
    busy_fraction
        Share of the run that engines spent computing.
    """

    deployment: str
    strategy: Strategy
    scenario: Scenario
    programs_per_s: float
    seed: int
    program: Latency
    victims: Latency
    recomputed_tokens: int
    needed_tokens: int
    idle_token_seconds: float
    unused_token_seconds: float
    unfinished: int
    failed: int
    refusals: int
    busy_fraction: float


Measure = Callable[[RunResult], float]


def latency_of(results: Iterable[ProgramResult]) -> Latency:
    """Return percentiles of the programs' latencies, by an HDR histogram."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for result in results:
        histogram.record_value(max(int(result.latency_s * MICROSECONDS), 1))

    def at(percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS

    return Latency(histogram.get_total_count(), at(50), at(95), at(99))


HEADER = (
    f"{'deployment':12}{'scenario':15}{'strategy':14}{'load':>6}{'seed':>5}{'p50 s':>8}{'p95 s':>8}"
    f"{'p99 s':>8}{'victim95':>9}{'recomp k':>10}{'idle kts':>10}{'unused kts':>11}{'busy':>6}"
    f"{'refus':>7}{'unfin':>6}{'fail':>6}"
)


def format_row(result: RunResult) -> str:
    """Return one line of the printed table."""
    return (
        f"{result.deployment:12}{result.scenario:15}{result.strategy:14}"
        f"{result.programs_per_s:6.1f}{result.seed:5}"
        f"{result.program.p50_s:8.2f}{result.program.p95_s:8.2f}{result.program.p99_s:8.2f}"
        f"{result.victims.p95_s:9.2f}{result.recomputed_tokens / 1e3:10.0f}"
        f"{result.idle_token_seconds / 1e3:10.0f}{result.unused_token_seconds / 1e3:11.0f}"
        f"{result.busy_fraction:6.2f}"
        f"{result.refusals:7}{result.unfinished:6}{result.failed:6}"
    )


def mean(results: Iterable[RunResult], measure: Measure) -> float:
    """Return the mean of a measure over runs; 0 for none."""
    values = [measure(result) for result in results]
    return sum(values) / len(values) if values else 0.0
