"""Parameters of the call scheduler, with units in the field names."""

import enum
from dataclasses import dataclass, field


class Ordering(enum.StrEnum):
    """Order of waiting calls: by the rules of ``QueueConfig``, or by arrival only."""

    PROGRAMS = "programs"
    ARRIVAL = "arrival"


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """Order and length of the queues.

    Attributes
    ----------
    ordering
        Rules of the order; order of arrival serves as a baseline.
    max_calls
        Maximum calls that wait for one model at this node; further ones are refused.
    class_step_s
        A call that has waited this long per class above 0 is served with class 0.
    ageing_tokens_per_s
        Attained service, in tokens, that one second of waiting compensates.
    max_attained_tokens
        Cap on the attained service that counts, which bounds starvation.
    urgent_s
        A call moves to the front of its tenant's calls when its deadline is this near.
    lookahead, lane_lookahead
        How many calls that wait for a better engine may be skipped in one round, in
        total and per lane.
    """

    ordering: Ordering = Ordering.PROGRAMS
    max_calls: int = 1_000
    class_step_s: float = 5.0
    ageing_tokens_per_s: float = 4_000.0
    max_attained_tokens: int = 40_000
    urgent_s: float = 1.0
    lookahead: int = 32
    lane_lookahead: int = 8

    @property
    def starvation_bound_s(self) -> float:
        """Seconds after which no later call of the same tenant and class is served first."""
        return self.max_attained_tokens / self.ageing_tokens_per_s


@dataclass(frozen=True, slots=True)
class CrowdingConfig:
    """When calls of heavy tenants wait, to protect the running programs of others.

    Attributes
    ----------
    near_heaviest
        A tenant's use is heavy above the mean of all active tenants, if it is also more
        than this share of the heaviest tenant's use.
    tolerance, excessive_share
        A tenant's use is excessive above this multiple of the mean, if its running calls
        fill more than this share of all batches or its programs that of all caches.
    min_running, min_programs
        Use with fewer running calls, or fewer open programs, is never heavy.
    active_s
        A tenant is active for this long after its last call.
    min_residence_s
        A new program of a tenant with heavy use waits while its prompt would evict
        prefixes used this recently.
    batch_fraction, free_cache_fraction
        Calls of a tenant with excessive use start only at engines whose batch is filled
        less than this, and its new programs leave this share of the cache free.
    enabled
        Whether calls wait for these reasons at all.
    """

    near_heaviest: float = 0.5
    tolerance: float = 1.5
    excessive_share: float = 0.3
    min_running: int = 2
    min_programs: int = 4
    active_s: float = 10.0
    min_residence_s: float = 3.0
    batch_fraction: float = 0.5
    free_cache_fraction: float = 0.5
    enabled: bool = True


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """Assumed performance of an engine before its own measurements are available.

    Attributes
    ----------
    step_s
        Duration of one decoding step with an empty batch.
    step_per_running_s
        Additional step time per running call.
    prefill_tokens_per_s
        Prompt tokens computed per second.
    import_tokens_per_s
        Cached tokens transferred between engines per second.
    mean_generated_tokens
        Initial estimate of the generated tokens per call.
    slots_over_batch
        Calls that may queue at an engine beyond its batch.
    """

    step_s: float = 0.003
    step_per_running_s: float = 0.0001
    prefill_tokens_per_s: float = 8_000.0
    import_tokens_per_s: float = 200_000.0
    mean_generated_tokens: float = 64.0
    slots_over_batch: int = 2


@dataclass(frozen=True, slots=True)
class PlacementConfig:
    """Weights of the placement cost, all in seconds.

    Attributes
    ----------
    other_zone_s
        Cost of an engine in another zone.
    eviction_weight
        Weight of the prefill time of the tokens that the call would evict.
    neighbour_weight
        Weight of the delay that the prefill causes to the running calls.
    stay_bonus_s
        Minimum gain for which a call leaves the engine that caches its prefix.
    jitter_s
        Random part, so that nodes with the same stale view do not all choose the same
        engine.
    """

    other_zone_s: float = 0.003
    eviction_weight: float = 0.5
    neighbour_weight: float = 0.25
    stay_bonus_s: float = 0.02
    jitter_s: float = 0.001


@dataclass(frozen=True, slots=True)
class BreakerConfig:
    """When the circuit breaker of a failing engine opens, and for how long."""

    failures_to_open: int = 3
    open_s: float = 1.0
    max_open_s: float = 30.0


@dataclass(frozen=True, slots=True)
class RetentionConfig:
    """When the cache of a paused program is released.

    Attributes
    ----------
    return_quantile, margin
        A program is overdue when its pause exceeds ``margin`` times this quantile of the
        pauses of its kind that ended with a return.
    min_overdue_s
        Minimum pause before a program is overdue.
    overdue_factor, min_unlearned_s
        Used instead until enough pauses were recorded: this multiple of the expected
        pause, and the minimum.
    pressure
        Share of an engine's cache in use above which no margin applies.
    enabled
        Whether caches are released or moved before a program's end.
    """

    return_quantile: float = 0.99
    margin: float = 1.5
    min_overdue_s: float = 2.0
    overdue_factor: float = 8.0
    min_unlearned_s: float = 10.0
    pressure: float = 0.9
    enabled: bool = True


@dataclass(frozen=True, slots=True)
class SchedulerConfig:
    """All parameters of a call scheduler.

    Attributes
    ----------
    watched_engines_per_model
        Engines that this node watches, and places calls on, for each model.
    report_timeout_s
        A load report older than this is stale and ignored.
    max_programs
        Maximum programs tracked; the longest idle are evicted first.
    """

    queue: QueueConfig = field(default_factory=QueueConfig)
    crowding: CrowdingConfig = field(default_factory=CrowdingConfig)
    engine: EngineConfig = field(default_factory=EngineConfig)
    placement: PlacementConfig = field(default_factory=PlacementConfig)
    breaker: BreakerConfig = field(default_factory=BreakerConfig)
    retention: RetentionConfig = field(default_factory=RetentionConfig)
    watched_engines_per_model: int = 8
    report_timeout_s: float = 5.0
    max_programs: int = 20_000
