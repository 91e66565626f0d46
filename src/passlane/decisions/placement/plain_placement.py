"""Chooses the plain back end for a call: sound, with room, soonest expected end.

Answers "why did this call go there, or wait?" for services without a model, by the order of
preference of ``PlainRank``; the log line ``plain_backend_chosen`` shows what decided. Owns what
this node's calls have shown of each back end. Relies on ``decisions.backends.answer_times`` and on
the judgement of ``decisions.backends.health``. Source: ``docs/design/plain-back-ends.md``.

Load that this answers: 30 places of which a node sees its own one or two; a back end that
refused a moment ago is most likely full still, and one with 6 places and calls of 30 ms has
a place free again 5 ms later.
"""

import math
from collections.abc import Collection, Sequence
from typing import NamedTuple

import msgspec

from passlane.decisions.backends.answer_times import AnswerTimes, RecentSpeed
from passlane.decisions.backends.health import stall_limit_s
from passlane.decisions.backends.registry import BackendLoad
from passlane.decisions.placement.backend_subset import SUBSET_SIZE, subset_order
from passlane.decisions.placement.request_placement import NodePlace

LIKELY_FULL = 0.5
"""A call is not sent to a back end that refuses it with a higher chance. Not measured; chosen."""
SMALLEST_CHANCE = 0.01
"""A smaller chance of a refusal must not decide between two back ends. Not measured; chosen."""
SLOW = 2.0
"""From this multiple of the usual time on, any other back end goes first; a smaller one is the
scatter of single calls. Measured: "Speed in small steps" of the design page."""
CONNECT_S = 0.004
"""Seconds. To open a connection takes a way to another zone and back, and a moment at the back
end. Not measured; chosen."""
REFUSAL_S = 0.004
"""Seconds. A refusal takes a way to another zone and back. Not measured; chosen."""
UNSOUND_S = 4.0
"""Seconds. For so long after it broke off, a back end gets no call that may run only once: a call
that is lost there is lost for good, and a program with it. Measured: "A longer memory of
break-offs" of the design page."""
LAST_CHANCE_CALL_TIMES = 4.0
"""A call that has less than so many typical times left goes to an unsound back end rather
than to none. Not measured; chosen."""


class PlainRank(NamedTuple):
    """Order of preference; the first difference decides, and lower is better.

    Attributes
    ----------
    is_unsound
        A call may well be lost there: it broke off, fails or is silent.
    is_likely_full
        It refused a moment ago.
    is_slow
        It takes twice the usual time, or is an outlier.
    is_beyond_subset
        It is not among those that this node prefers.
    expected_s
        Seconds until the answer is expected.
    in_flight
        Requests of this node under way there.
    place
        Its place in this node's own order.
    """

    is_unsound: bool
    is_likely_full: bool
    is_slow: bool
    is_beyond_subset: bool
    expected_s: float
    in_flight: int
    place: int


class PlainCall(msgspec.Struct, frozen=True):
    """What matters of a call for the choice of its back end.

    Attributes
    ----------
    runs_once
        Whether it is lost for good if a back end breaks off after the send.
    left_s
        Time until it is given up.
    """

    route: str
    runs_once: bool
    left_s: float


class PlainView(msgspec.Struct, frozen=True):
    """The back ends of a service at one moment.

    Attributes
    ----------
    loads
        Those that take new requests; one that is leaving is none of them.
    now
        Local time.
    connected
        Instances to which a connection rests unused.
    outliers
        Instances that do worse than most.
    """

    loads: Sequence[BackendLoad]
    now: float
    connected: Collection[str] = ()
    outliers: Collection[str] = ()


class PlainChoice(msgspec.Struct, frozen=True):
    """A back end that was chosen, and what decided it.

    Attributes
    ----------
    refusal_age_s, refusal_chance
        Seconds since its last refusal (``None`` without one) and what follows from it.
    slowness
        Its present time as a multiple of the usual.
    """

    load: BackendLoad
    rank: PlainRank
    candidates: int
    refusal_age_s: float | None
    refusal_chance: float
    slowness: float
    typical_s: float


class PlainBackendState(msgspec.Struct):
    """What this node's calls have shown of one plain back end lately; times are local."""

    speed: RecentSpeed = msgspec.field(default_factory=RecentSpeed)
    refused_at: float = -math.inf
    refusals_in_row: int = 0
    broken_at: float = -math.inf

    def refusal_chance(self, free_every_s: float, slots: int, now: float) -> float:
        """Return the chance that it is still full.

        The memory of a refusal fades within the time in which a place gets free; after
        several refusals in a row, within the time in which all places do.
        """
        if not self.refusals_in_row:
            return 0.0
        fading_s = free_every_s * min(self.refusals_in_row, slots)
        chance = math.exp(-(now - self.refused_at) / fading_s)
        return chance if chance >= SMALLEST_CHANCE else 0.0


class PlainBackends:
    """What a node knows of the plain back ends of one service, and its choice among them."""

    def __init__(self, node: NodePlace, times: AnswerTimes, subset_size: int = SUBSET_SIZE) -> None:
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
        """Choose the back end for the next try; ``None`` if the call should wait for room.

        Parameters
        ----------
        tried
            Instances that refused or failed the call in this round.
        offered
            The instance where a place of this node's own got free just now.
        must_try
            Whether the call has waited and has leave to try, so that it goes to the
            likeliest back end even if that is likely full.
        """
        self._take_over(view.loads)
        choices = [self._judge(load, call, view) for load in view.loads]
        fresh = [each for each in choices if each.load.record.incarnation not in tried]
        if self._must_be_sound(call) and not all(each.rank.is_unsound for each in choices):
            fresh = [each for each in fresh if not each.rank.is_unsound]
        at_offered = _sound_choice_at(offered, fresh)
        if at_offered is not None:
            return at_offered
        best = min(fresh, key=_rank_of, default=None)
        if best is None or must_try or not best.rank.is_likely_full:
            return best
        return None

    def note_refused(self, instance_id: str, now: float) -> None:
        """Note that a back end had no room."""
        state = self._state(instance_id)
        state.refused_at = now
        state.refusals_in_row += 1

    def note_answered(self, instance_id: str, ratio: float, now: float) -> None:
        """Note a whole answer that took this multiple of the usual time."""
        state = self._state(instance_id)
        state.refusals_in_row = 0
        state.speed.note(ratio, now)

    def note_broken(self, instance_id: str, now: float) -> None:
        """Note that a back end broke off, went silent or could not be reached."""
        self._state(instance_id).broken_at = now

    def _must_be_sound(self, call: PlainCall) -> bool:
        """Whether a call may wait for a sound back end rather than risk to be lost."""
        return call.runs_once and call.left_s > LAST_CHANCE_CALL_TIMES * self.times.typical_s

    def _state(self, instance_id: str) -> PlainBackendState:
        return self._states.setdefault(instance_id, PlainBackendState())

    def _take_over(self, loads: Sequence[BackendLoad]) -> None:
        """Order the back ends anew and forget those that are gone, if the list has changed."""
        listed = frozenset(load.record.incarnation for load in loads)
        if listed == self._listed:
            return
        self._listed = listed
        self._order = subset_order([load.record for load in loads], self._node)
        self._states = {key: state for key, state in self._states.items() if key in listed}

    def _judge(self, load: BackendLoad, call: PlainCall, view: PlainView) -> PlainChoice:
        """Return what choosing this back end would go by."""
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
        is_slow = slowness >= SLOW
        answer_s = self.times.of_route(call.route) * (slowness if is_slow else 1.0)
        connect_s = 0.0 if instance_id in view.connected else CONNECT_S
        place = self._order.index(instance_id)
        return PlainRank(
            is_unsound=self._is_unsound(load, call, view.now),
            is_likely_full=refusal_chance > LIKELY_FULL,
            is_slow=is_slow or instance_id in view.outliers,
            is_beyond_subset=place >= self._subset_size,
            expected_s=answer_s + connect_s + refusal_chance * REFUSAL_S,
            in_flight=load.in_flight,
            place=place,
        )

    def _is_unsound(self, load: BackendLoad, call: PlainCall, now: float) -> bool:
        """Whether a call may well be lost there; a longer memory for what may run only once."""
        if load.avoid_until > now or load.health.is_failing(now):
            return True
        if load.health.is_stalled(now, stall_limit_s(self.times.typical_s)):
            return True
        broken_at = self._state(load.record.incarnation).broken_at
        return call.runs_once and now - broken_at < UNSOUND_S


def _sound_choice_at(instance_id: str, choices: Sequence[PlainChoice]) -> PlainChoice | None:
    """Return the choice of the instance whose place was offered, unless it is unsound."""
    for choice in choices:
        if choice.load.record.incarnation == instance_id and not choice.rank.is_unsound:
            return choice
    return None


def _rank_of(choice: PlainChoice) -> PlainRank:
    return choice.rank
