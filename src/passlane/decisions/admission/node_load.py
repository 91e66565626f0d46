"""Decides what a node takes on, from how it fares.

Answers "why did this node refuse?" (``node_at_its_bounds``): the log line
``node_admission_changed`` holds the reading, what it led to and which part of it decided. Owns
the present state. Source: ``docs/design/node-bounds.md``, "A node's own load".

Requests under way go first: what has begun is never ended here. First new programs are
refused, then all new requests.
"""

import enum

import msgspec

from passlane.decisions.failure.retry_after import retry_after_outage_s

LATE_LOOP_S = 0.06
"""Seconds. An event that is passed on 0.12 s late makes its stream late; a loop that is late by
half of that in the mean exceeds it often. Derived, see "Thresholds" of the design page."""
VERY_LATE_LOOP_S = 0.25
"""Seconds. The whole target of a turn; whatever is taken on now comes late. Derived, see
"Thresholds" of the design page."""
HIGH_SHARE = 0.8
"""From this share of memory, descriptors or the like on, new programs are refused. Not measured;
chosen."""
HIGHEST_SHARE = 0.92
"""From this share on, all is refused: a process over its memory limit is killed, with all that
it has under way. Not measured; chosen."""
RELIEF_SHARE = 0.5
"""A late loop counts as recovered at this share of the threshold. Not measured; chosen."""
ROOM_RELIEF_SHARE = 0.9
"""Room counts as recovered at this share of the threshold: memory is rarely given back. Not
measured; chosen."""
SHORTEST_STATE_S = 0.5
"""Seconds. A state lasts so long at least, so that one sample more or less doesn't change it. Not
measured; chosen."""


class Admission(enum.IntEnum):
    """What a node takes on; the higher, the less."""

    ALL = 0
    KNOWN_PROGRAMS = 1
    """Further requests of programs that it has served; nothing else."""
    NOTHING = 2


class LoadCause(enum.Enum):
    """Which reading decided what a node takes on."""

    NONE = ""
    """None: all is taken again."""
    LOOP_LAG = "loop_lag"
    HELD_BYTES = "held_bytes"
    UNDER_WAY = "under_way"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class NodeReading(msgspec.Struct, frozen=True):
    """How a node fares; ``None`` for what isn't known.

    Attributes
    ----------
    loop_lag_s
        By how much the loop runs late, in the mean.
    held_bytes
        Bytes held for slow readers.
    under_way
        Requests under way.
    resident_bytes
        Memory that the process occupies.
    descriptors
        Descriptors that are open.
    """

    loop_lag_s: float = 0.0
    held_bytes: int = 0
    under_way: int = 0
    resident_bytes: int | None = None
    descriptors: int | None = None


class NodeCapacity(msgspec.Struct, frozen=True):
    """What a node can carry; ``None`` for no bound."""

    late_loop_s: float = LATE_LOOP_S
    very_late_loop_s: float = VERY_LATE_LOOP_S
    held_bytes: int | None = None
    under_way: int | None = None
    resident_bytes: int | None = None
    descriptors: int | None = None


class LoadChange(msgspec.Struct, frozen=True):
    """A change of what a node takes on.

    Attributes
    ----------
    cause
        Which reading decided.
    """

    before: Admission
    now: Admission
    cause: LoadCause


class _Demand(msgspec.Struct, frozen=True):
    """What a reading asks for, and which part of it does."""

    admission: Admission
    cause: LoadCause


class NodeLoad:
    """What a node takes on; local times.

    Attributes
    ----------
    admission
        What it takes on now.
    """

    def __init__(self, capacity: NodeCapacity) -> None:
        self._capacity = capacity
        self._changed_at = float("-inf")
        self._refusing_since = 0.0
        self.admission = Admission.ALL

    def observe(self, reading: NodeReading, now: float) -> LoadChange | None:
        """Decide anew by a reading; return the change if there is one."""
        demand = self._demand_of(reading)
        wanted = demand.admission
        if wanted < self.admission and now - self._changed_at < SHORTEST_STATE_S:
            return None
        if wanted == self.admission:
            return None
        change = LoadChange(self.admission, wanted, demand.cause)
        if self.admission is Admission.ALL:
            self._refusing_since = now
        self.admission = wanted
        self._changed_at = now
        return change

    def refuses(self, *, is_new_program: bool) -> bool:
        """Whether a request that has just come is to be refused."""
        if self.admission is Admission.NOTHING:
            return True
        return is_new_program and self.admission is Admission.KNOWN_PROGRAMS

    def retry_after_s(self, now: float) -> float:
        """Return when a refused caller is to come back, in seconds."""
        return retry_after_outage_s(now - self._refusing_since)

    def _demand_of(self, reading: NodeReading) -> _Demand:
        """Return the worst of what the parts of a reading ask for; the first among equals."""
        capacity = self._capacity
        wanted = {
            LoadCause.LOOP_LAG: self._by_lag(reading.loop_lag_s),
            LoadCause.HELD_BYTES: self._by_room(reading.held_bytes, capacity.held_bytes),
            LoadCause.UNDER_WAY: self._by_room(reading.under_way, capacity.under_way),
            LoadCause.MEMORY: self._by_room(reading.resident_bytes, capacity.resident_bytes),
            LoadCause.DESCRIPTORS: self._by_room(reading.descriptors, capacity.descriptors),
        }
        cause = max(wanted, key=wanted.__getitem__)
        if wanted[cause] is Admission.ALL:
            return _Demand(Admission.ALL, LoadCause.NONE)
        return _Demand(wanted[cause], cause)

    def _by_lag(self, lag_s: float) -> Admission:
        capacity = self._capacity
        return self._by_thresholds(
            lag_s, capacity.late_loop_s, capacity.very_late_loop_s, RELIEF_SHARE
        )

    def _by_room(self, used: int | None, most: int | None) -> Admission:
        if used is None or most is None:
            return Admission.ALL
        return self._by_thresholds(used, HIGH_SHARE * most, HIGHEST_SHARE * most, ROOM_RELIEF_SHARE)

    def _by_thresholds(
        self, value: float, high: float, highest: float, relief_share: float
    ) -> Admission:
        """Return what a value asks for; a state that holds is left below its threshold only."""
        if self.admission is Admission.NOTHING:
            highest *= relief_share
        if self.admission is not Admission.ALL:
            high *= relief_share
        if value >= highest:
            return Admission.NOTHING
        return Admission.KNOWN_PROGRAMS if value >= high else Admission.ALL
