"""Admits or refuses requests by the load of the node.

Owns the counts of requests in flight. ``decisions.admission.node_load`` decides what is admitted,
``decisions.admission.known_programs`` which program is new.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from passlane.decisions.admission.answer_room import AnswerRoom
from passlane.decisions.admission.history_room import HistoryRoom
from passlane.decisions.admission.known_programs import KnownPrograms
from passlane.decisions.admission.node_load import Admission, NodeCapacity, NodeLoad, NodeReading
from passlane.decisions.inputs.relayed_call import RelayedCall
from passlane.observability.logging import get_logger
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal

_log = get_logger(__name__)


class NodeAdmission:
    """Decides for each request, and counts the requests in flight.

    Attributes
    ----------
    in_flight
        Number of admitted requests that have not ended.
    body_bytes
        Bytes of their bodies.
    histories
        The histories of turns that these requests hold.
    answers
        The parts of answers that these requests hold.
    refused
        Number of refused requests, by the state of the node.

    Parameters
    ----------
    is_enabled
        Whether requests are refused; the load is tracked either way.
    """

    def __init__(
        self,
        capacity: NodeCapacity,
        *,
        is_enabled: bool,
        histories: HistoryRoom | None = None,
        answers: AnswerRoom | None = None,
    ) -> None:
        self._load = NodeLoad(capacity)
        self._is_enabled = is_enabled
        self._programs = KnownPrograms()
        self.in_flight = 0
        self.body_bytes = 0
        self.histories = histories or HistoryRoom.of_machine(None)
        self.answers = answers or AnswerRoom.of_machine(None)
        self.refused: Counter[str] = Counter()

    @classmethod
    def unbounded(cls) -> "NodeAdmission":
        """Return an instance that admits all requests."""
        return cls(NodeCapacity(), is_enabled=False)

    @property
    def state(self) -> Admission:
        """What the node admits, or would admit if refusals were enabled."""
        return self._load.admission

    def observe(self, reading: NodeReading, now: float) -> None:
        """Update the state from a reading."""
        change = self._load.observe(reading, now)
        if change is None:
            return
        _log.warning(
            "node_admission_changed",
            before=change.before.name.lower(),
            now=change.now.name.lower(),
            cause=change.cause.value,
            is_enabled=self._is_enabled,
            loop_lag_s=round(reading.loop_lag_s, 4),
            held_bytes=reading.held_bytes,
            under_way=reading.under_way,
            resident_bytes=reading.resident_bytes,
            descriptors=reading.descriptors,
        )

    def refusal(self, call: RelayedCall, now: float) -> Refusal | None:
        """Return how to refuse a request; ``None`` if it is admitted."""
        if not self._is_enabled or self._load.admission is Admission.ALL:
            return None
        is_new_program = self._programs.is_new(call, now)
        if not self._load.refuses(is_new_program=is_new_program):
            return None
        self.refused[self._load.admission.name.lower()] += 1
        retry_after_s = self._load.retry_after_s(now)
        return Refusal.of(RequestEndReason.NODE_AT_ITS_BOUNDS, retry_after_s)

    @contextmanager
    def track(self, call: RelayedCall, now: float) -> Iterator[None]:
        """Count a request as in flight."""
        size = len(call.body)
        if self._is_enabled:
            self._programs.note(call, now)
        self.in_flight += 1
        self.body_bytes += size
        try:
            yield
        finally:
            self.in_flight -= 1
            self.body_bytes -= size
