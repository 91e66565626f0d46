"""Decides which requests a node admits, based on its own load.

Owns the node's admission state. The log line ``node_admission_changed`` explains refusals with
``node_at_its_bounds``: it contains the reading, the resulting state and the cause.

Requests under way are never ended here. With growing load the node first refuses new programs,
then all new requests.
"""

import enum

import msgspec

from passlane.decisions.failure.retry_after import retry_after_outage_s

LATE_LOOP_S = 0.06
"""Mean loop lag from which new programs are refused: half of the 0.12 s by which an event may be
delayed before its stream misses its target."""
VERY_LATE_LOOP_S = 0.25
"""Mean loop lag from which all requests are refused: the whole latency target of a turn."""
NEW_PROGRAM_REFUSAL_SHARE = 0.8
"""Share of a resource limit from which new programs are refused."""
ALL_REFUSAL_SHARE = 0.92
"""Share of a resource limit from which all requests are refused, before the process is killed for
exceeding its memory limit."""
LOOP_LAG_RECOVERY_SHARE = 0.5
"""Share of the threshold below which loop lag counts as recovered."""
RESOURCE_RECOVERY_SHARE = 0.9
"""Share of the threshold below which a resource counts as recovered; close to 1 because processes
rarely release memory."""
MIN_STATE_S = 0.5
"""Minimum time in a state before a less restrictive one, so that single samples don't toggle it."""


class Admission(enum.IntEnum):
    """Which requests a node admits; higher values are more restrictive."""

    ALL = 0
    KNOWN_PROGRAMS = 1
    """Only requests of programs that the node has already served."""
    NOTHING = 2


class LoadCause(enum.Enum):
    """Which part of a reading determined the admission state."""

    NONE = ""
    """No part: all requests are admitted."""
    LOOP_LAG = "loop_lag"
    HELD_BYTES = "held_bytes"
    UNDER_WAY = "under_way"
    MEMORY = "memory"
    DESCRIPTORS = "descriptors"


class NodeReading(msgspec.Struct, frozen=True):
    """Load of a node; ``None`` for unknown values.

    Attributes
    ----------
    loop_lag_s
        Mean lag of the event loop, in seconds.
    held_bytes
        Bytes buffered for slow readers.
    under_way
        Number of requests under way.
    resident_bytes
        Resident memory of the process, in bytes.
    descriptors
        Number of open file descriptors.
    """

    loop_lag_s: float = 0.0
    held_bytes: int = 0
    under_way: int = 0
    resident_bytes: int | None = None
    descriptors: int | None = None


class NodeCapacity(msgspec.Struct, frozen=True):
    """Limits of a node, by the fields of ``NodeReading``; ``None`` for no bound."""

    late_loop_s: float = LATE_LOOP_S
    very_late_loop_s: float = VERY_LATE_LOOP_S
    held_bytes: int | None = None
    under_way: int | None = None
    resident_bytes: int | None = None
    descriptors: int | None = None


class LoadChange(msgspec.Struct, frozen=True):
    """A change of a node's admission state.

    Attributes
    ----------
    before, now
        Previous and new state.
    cause
        Part of the reading that determined the new state.
    """

    before: Admission
    now: Admission
    cause: LoadCause


class _RequiredAdmission(msgspec.Struct, frozen=True):
    """The admission state that a reading requires, and the part that determined it."""

    admission: Admission
    cause: LoadCause


class NodeLoad:
    """Admission state of a node; times are local.

    Parameters
    ----------
    capacity
        Limits to which readings are compared.

    Attributes
    ----------
    admission
        Current state.
    """

    def __init__(self, capacity: NodeCapacity) -> None:
        self._capacity = capacity
        self._changed_at = float("-inf")
        self._refusing_since = 0.0
        self.admission = Admission.ALL

    def observe(self, reading: NodeReading, now: float) -> LoadChange | None:
        """Update the state from a reading; return the change, or ``None`` if there is none.

        1. A more restrictive state applies immediately.
        2. A less restrictive state applies only ``MIN_STATE_S`` after the last change.
        """
        required = self._required_by(reading)
        wanted = required.admission
        if wanted < self.admission and now - self._changed_at < MIN_STATE_S:
            return None
        if wanted == self.admission:
            return None
        change = LoadChange(self.admission, wanted, required.cause)
        if self.admission is Admission.ALL:
            self._refusing_since = now
        self.admission = wanted
        self._changed_at = now
        return change

    def refuses(self, *, is_new_program: bool) -> bool:
        """Return whether to refuse a new request."""
        if self.admission is Admission.NOTHING:
            return True
        return is_new_program and self.admission is Admission.KNOWN_PROGRAMS

    def retry_after_s(self, now: float) -> float:
        """Return the retry-after time of a refused request, in seconds."""
        return retry_after_outage_s(now - self._refusing_since)

    def _required_by(self, reading: NodeReading) -> _RequiredAdmission:
        """Return the most restrictive state that any part of a reading requires.

        Ties are resolved in favor of the first part.
        """
        capacity = self._capacity
        wanted = {
            LoadCause.LOOP_LAG: self._required_by_lag(reading.loop_lag_s),
            LoadCause.HELD_BYTES: self._required_by_usage(reading.held_bytes, capacity.held_bytes),
            LoadCause.UNDER_WAY: self._required_by_usage(reading.under_way, capacity.under_way),
            LoadCause.MEMORY: self._required_by_usage(
                reading.resident_bytes, capacity.resident_bytes
            ),
            LoadCause.DESCRIPTORS: self._required_by_usage(
                reading.descriptors, capacity.descriptors
            ),
        }
        cause = max(wanted, key=wanted.__getitem__)
        if wanted[cause] is Admission.ALL:
            return _RequiredAdmission(Admission.ALL, LoadCause.NONE)
        return _RequiredAdmission(wanted[cause], cause)

    def _required_by_lag(self, lag_s: float) -> Admission:
        capacity = self._capacity
        return self._required_by_thresholds(
            lag_s, capacity.late_loop_s, capacity.very_late_loop_s, LOOP_LAG_RECOVERY_SHARE
        )

    def _required_by_usage(self, used: int | None, limit: int | None) -> Admission:
        if used is None or limit is None:
            return Admission.ALL
        return self._required_by_thresholds(
            used,
            NEW_PROGRAM_REFUSAL_SHARE * limit,
            ALL_REFUSAL_SHARE * limit,
            RESOURCE_RECOVERY_SHARE,
        )

    def _required_by_thresholds(
        self, value: float, high: float, very_high: float, recovery_share: float
    ) -> Admission:
        """Return the state that a value requires.

        In a restrictive state its threshold is multiplied by ``recovery_share`` (hysteresis).
        """
        if self.admission is Admission.NOTHING:
            very_high *= recovery_share
        if self.admission is not Admission.ALL:
            high *= recovery_share
        if value >= very_high:
            return Admission.NOTHING
        return Admission.KNOWN_PROGRAMS if value >= high else Admission.ALL
