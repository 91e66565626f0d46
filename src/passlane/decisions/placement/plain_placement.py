"""Selects the back end of a call to a service without a model, or lets the call wait.

Back ends are compared by ``PlainRank``: health, recent refusals, speed, subset, and expected time.
The log line ``plain_backend_chosen`` shows the decisive values. Owns the recent refusals, breaks
and speed of each back end as seen by this node's calls. Relies on
``decisions.backends.answer_times`` and ``decisions.backends.health``.

A node sees one or two of some thirty slots. A back end that has just refused a call is most likely
still full, and one with six slots and calls of 30 ms has a free slot 5 ms later.
"""

import math
from collections.abc import Collection, Sequence
from typing import NamedTuple

import msgspec

from passlane.decisions.backends.answer_times import AnswerTimes, RecentSpeed
from passlane.decisions.backends.health import stall_limit_s
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.placement.backend_subset import SUBSET_SIZE, subset_order
from passlane.decisions.placement.request_placement import NodeLocation

MAX_REFUSAL_CHANCE = 0.5
"""Estimated refusal probability above which a back end is likely full, so that calls wait."""
MIN_REFUSAL_CHANCE = 0.01
"""Smaller refusal probabilities count as 0, so that they do not affect the choice."""
MIN_SLOW_RATIO = 2.0
"""Ratio to the typical response time from which a back end is slow; smaller ones are noise."""
CONNECT_COST_S = 0.004
"""Seconds to open a connection, including a round trip to another zone."""
REFUSAL_COST_S = 0.004
"""Seconds that a refusal takes: a round trip to another zone."""
AVOID_AFTER_BREAK_S = 4.0
"""Seconds after a break during which a back end gets no call that may run only once, since such a
call cannot be retried."""
URGENT_CALL_TIMES = 4.0
"""Remaining time, in multiples of the typical response time, up to which a call that may run only
once is sent to an unhealthy back end instead of waiting for a healthy one."""


class PlainRank(NamedTuple):
    """Rank of a back end; fields are compared in order, and lower values are preferred.

    Attributes
    ----------
    is_unhealthy
        The back end is unhealthy: it recently broke off, fails or is stalled.
    is_likely_full
        It recently refused a call.
    is_slow
        It takes at least twice the typical time, or is an outlier.
    is_beyond_subset
        It is not in the preferred subset of this node.
    expected_s
        Expected time until the answer, in seconds.
    in_flight
        Number of requests of this node in flight there.
    position
        Its position in this node's order of preference.
    """

    is_unhealthy: bool
    is_likely_full: bool
    is_slow: bool
    is_beyond_subset: bool
    expected_s: float
    in_flight: int
    position: int


class PlainCall(msgspec.Struct, frozen=True):
    """Properties of a call that determine the choice of its back end.

    Attributes
    ----------
    runs_once
        Whether it must not be retried if a back end breaks off after it was sent.
    left_s
        Seconds until it times out.
    """

    route: str
    runs_once: bool
    left_s: float


class PlainView(msgspec.Struct, frozen=True):
    """Snapshot of the back ends of a service.

    Attributes
    ----------
    loads
        Back ends that accept new requests, without draining ones.
    now
        Local time.
    connected
        Incarnations to which this node has an idle connection.
    outliers
        Incarnations that are outliers.
    """

    loads: Sequence[BackendLoad]
    now: float
    connected: Collection[str] = ()
    outliers: Collection[str] = ()


class PlainChoice(msgspec.Struct, frozen=True):
    """A back end with its rank and the values that determined it.

    Attributes
    ----------
    refusal_age_s, refusal_chance
        Seconds since its last refusal (``None`` without one), and the estimated probability that
        it refuses a call now.
    slowness
        Ratio of its recent response times to the typical ones.
    """

    load: BackendLoad
    rank: PlainRank
    candidates: int
    refusal_age_s: float | None
    refusal_chance: float
    slowness: float
    typical_s: float


class PlainBackendState(msgspec.Struct):
    """Recent results of this node's calls at one plain back end; times are local."""

    speed: RecentSpeed = msgspec.field(default_factory=RecentSpeed)
    refused_at: float = -math.inf
    refusals_in_row: int = 0
    broken_at: float = -math.inf

    def refusal_chance(self, free_every_s: float, slots: int, now: float) -> float:
        """Return the probability that the back end is still full.

        It decays exponentially with the time in which one slot becomes free, multiplied by the
        number of consecutive refusals, up to the number of slots.
        """
        if not self.refusals_in_row:
            return 0.0
        decay_s = free_every_s * min(self.refusals_in_row, slots)
        chance = math.exp(-(now - self.refused_at) / decay_s)
        return chance if chance >= MIN_REFUSAL_CHANCE else 0.0


class PlainBackends:
    """State of the plain back ends of one service, and the selection among them."""

    def __init__(
        self, node: NodeLocation, times: AnswerTimes, subset_size: int = SUBSET_SIZE
    ) -> None:
        self.times = times
        self._node = node
        self._subset_size = subset_size
        self._states: dict[str, PlainBackendState] = {}
        self._order: tuple[str, ...] = ()
        self._listed: frozenset[str] = frozenset()

    def choose(
        self,
        view: PlainView,
        call: PlainCall,
        *,
        tried: Collection[str] = (),
        offered: str = "",
        must_try: bool = False,
    ) -> PlainChoice | None:
        """Choose the back end for the next attempt; ``None`` if the call should wait for capacity.

        Parameters
        ----------
        tried
            Incarnations that refused or failed the call in this round.
        offered
            Incarnation at which a call of this node has just ended; chosen unless unhealthy.
        must_try
            Whether the call has waited and is permitted to try, so that it is sent to the best
            back end even if that is likely full.
        """
        self._update_order(view.loads)
        choices = [self._evaluate(load, call, view) for load in view.loads]
        untried = [each for each in choices if each.load.record.incarnation not in tried]
        if self._requires_healthy(call) and not all(each.rank.is_unhealthy for each in choices):
            untried = [each for each in untried if not each.rank.is_unhealthy]
        offered_choice = _healthy_choice_at(offered, untried)
        if offered_choice is not None:
            return offered_choice
        best = min(untried, key=_rank_of, default=None)
        if best is None or must_try or not best.rank.is_likely_full:
            return best
        return None

    def record_refused(self, instance_id: str, now: float) -> None:
        """Record that a back end refused a call because it was full."""
        state = self._state(instance_id)
        state.refused_at = now
        state.refusals_in_row += 1

    def record_answered(self, instance_id: str, ratio: float, now: float) -> None:
        """Record a complete answer and the ratio of its time to the typical one."""
        state = self._state(instance_id)
        state.refusals_in_row = 0
        state.speed.note(ratio, now)

    def record_broken(self, instance_id: str, now: float) -> None:
        """Record that a back end broke off, stalled or could not be reached."""
        self._state(instance_id).broken_at = now

    def _requires_healthy(self, call: PlainCall) -> bool:
        """Whether a call has to wait for a healthy back end, since it may run only once."""
        return call.runs_once and call.left_s > URGENT_CALL_TIMES * self.times.typical_s

    def _state(self, instance_id: str) -> PlainBackendState:
        return self._states.setdefault(instance_id, PlainBackendState())

    def _update_order(self, loads: Sequence[BackendLoad]) -> None:
        """Update the order and drop the state of removed back ends if the list has changed."""
        listed = frozenset(load.record.incarnation for load in loads)
        if listed == self._listed:
            return
        self._listed = listed
        self._order = subset_order([load.record for load in loads], self._node)
        self._states = {key: state for key, state in self._states.items() if key in listed}

    def _evaluate(self, load: BackendLoad, call: PlainCall, view: PlainView) -> PlainChoice:
        """Return a back end as a choice, with its rank."""
        state = self._state(load.record.incarnation)
        slots = max(1, load.record.slots)
        chance = state.refusal_chance(self.times.typical_s / slots, slots, view.now)
        slowness = state.speed.slowness(view.now)
        refused_ago_s = view.now - state.refused_at
        return PlainChoice(
            load=load,
            rank=self._rank(load, call, view, chance, slowness),
            candidates=len(view.loads),
            refusal_age_s=refused_ago_s if math.isfinite(refused_ago_s) else None,
            refusal_chance=chance,
            slowness=slowness,
            typical_s=self.times.typical_s,
        )

    def _rank(
        self,
        load: BackendLoad,
        call: PlainCall,
        view: PlainView,
        refusal_chance: float,
        slowness: float,
    ) -> PlainRank:
        instance_id = load.record.incarnation
        is_slow = slowness >= MIN_SLOW_RATIO
        answer_s = self.times.of_route(call.route) * (slowness if is_slow else 1.0)
        connect_s = 0.0 if instance_id in view.connected else CONNECT_COST_S
        position = self._order.index(instance_id)
        return PlainRank(
            is_unhealthy=self._is_unhealthy(load, call, view.now),
            is_likely_full=refusal_chance > MAX_REFUSAL_CHANCE,
            is_slow=is_slow or instance_id in view.outliers,
            is_beyond_subset=position >= self._subset_size,
            expected_s=answer_s + connect_s + refusal_chance * REFUSAL_COST_S,
            in_flight=load.in_flight,
            position=position,
        )

    def _is_unhealthy(self, load: BackendLoad, call: PlainCall, now: float) -> bool:
        """Whether a call there is likely to fail; stricter for calls that may run only once."""
        if load.avoid_until > now or load.health.is_failing(now):
            return True
        if load.health.is_stalled(now, stall_limit_s(self.times.typical_s)):
            return True
        broken_at = self._state(load.record.incarnation).broken_at
        return call.runs_once and now - broken_at < AVOID_AFTER_BREAK_S


def _healthy_choice_at(instance_id: str, choices: Sequence[PlainChoice]) -> PlainChoice | None:
    """Return the choice with this incarnation, unless it is unhealthy or missing."""
    for choice in choices:
        if choice.load.record.incarnation == instance_id and not choice.rank.is_unhealthy:
            return choice
    return None


def _rank_of(choice: PlainChoice) -> PlainRank:
    return choice.rank
