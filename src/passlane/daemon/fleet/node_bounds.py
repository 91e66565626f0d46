"""Samples a node's load and passes the samples to admission and to the bounds on unread answers.

For: a node, which refuses requests and ends answers beyond its capacity.
Owns: the samples, ``unread_answers`` and ``admission``, and their metrics.
Relies on: the operating system for resident memory and open descriptors; a bound doesn't apply
where the reading isn't available.
"""

from collections.abc import Callable

import anyio

from passlane.decisions.admission.answer_room import AnswerRoom
from passlane.decisions.admission.history_room import HistoryRoom
from passlane.decisions.admission.loop_lag import SAMPLE_PERIOD_S, LoopLag
from passlane.decisions.admission.node_load import NodeCapacity, NodeReading
from passlane.decisions.admission.reader_buffers import SHARE_OF_MEMORY, ReaderBufferBounds
from passlane.messages.routes import RouteConfiguration
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics
from passlane.relay.admission import NodeAdmission
from passlane.relay.slow_reader_monitor import SlowReaderMonitor
from passlane.runtime.process_usage import open_descriptors, resident_bytes
from passlane.settings.fleet import FleetSettings, MachineSettings, NodeBoundsSettings

SAMPLES_PER_USAGE_READING = 4
"""Memory and descriptors are read with every fourth sample, once a second; they change slowly."""
STALL_TARGET_FACTOR = 4.0
"""Multiple of a route's target latency after which callers abandon a stream."""
MAX_ROUTE_STALL_S = 4.0
"""Upper bound of the stall time derived from routes; below the time after which a backend cuts off
an unread answer."""

_log = get_logger(__name__)


class NodeBounds:
    """Samples the node's load and applies the bounds in its settings.

    Attributes
    ----------
    unread_answers
        Ends the connections of callers that stop reading.
    admission
        Decides which requests the node accepts.
    """

    def __init__(self, settings: FleetSettings, metrics: Metrics) -> None:
        self._bounds = _unread_bounds(settings)
        self._settings = settings.node_bounds
        self._lag = LoopLag()
        self._resident_bytes: int | None = None
        self._descriptors: int | None = None
        self._unavailable: set[str] = set()
        self.unread_answers = SlowReaderMonitor(self._bounds)
        self.admission = NodeAdmission(
            _capacity(settings, self._bounds.for_all),
            is_enabled=settings.node_bounds.enabled,
            histories=HistoryRoom.of_machine(settings.machine.memory_bytes),
            answers=AnswerRoom.of_machine(settings.machine.memory_bytes),
        )
        self._metrics = metrics
        self._exposed: dict[tuple[str, str], int] = {}
        metrics.call_before_exposure(self._expose)

    @property
    def max_caller_bytes(self) -> int:
        """Unread bytes of one caller beyond which writing to it blocks."""
        return self._bounds.for_one

    def apply_configuration(self, configuration: RouteConfiguration) -> None:
        """Set the stall bound to the time after which callers of the slowest route leave."""
        targets = [route.target_latency_s for route in configuration.routes]
        route_stall_s = min(MAX_ROUTE_STALL_S, STALL_TARGET_FACTOR * max(targets, default=0.0))
        self._bounds = ReaderBufferBounds(
            for_one=self._bounds.for_one,
            for_all=self._bounds.for_all,
            longest_stall_s=max(self._settings.longest_stall_s, route_stall_s),
        )
        self.unread_answers.replace_bounds(self._bounds)

    async def run(self) -> None:
        """Sample until cancelled."""
        samples = 0
        while True:
            due_at = anyio.current_time() + SAMPLE_PERIOD_S
            await anyio.sleep_until(due_at)
            now = anyio.current_time()
            self._lag.note(due_at, now)
            if samples % SAMPLES_PER_USAGE_READING == 0:
                self._read_usage()
            samples += 1
            self.unread_answers.poll(now)
            self.admission.observe(self._reading(), now)

    def _reading(self) -> NodeReading:
        return NodeReading(
            loop_lag_s=self._lag.mean_s,
            held_bytes=self.unread_answers.buffered_bytes + self.admission.body_bytes,
            under_way=self.admission.in_flight,
            resident_bytes=self._resident_bytes,
            descriptors=self._descriptors,
        )

    def _read_usage(self) -> None:
        self._resident_bytes = self._read("resident_bytes", resident_bytes)
        self._descriptors = self._read("descriptors", open_descriptors)

    def _read(self, name: str, read: Callable[[], int]) -> int | None:
        """Return a reading; if it isn't available, log that once and return ``None``."""
        if name in self._unavailable:
            return None
        try:
            return read()
        except OSError as error:
            self._unavailable.add(name)
            _log.warning("usage_not_told", reading=name, problem=str(error))
            return None

    def _expose(self) -> None:
        """Update the metrics from the last sample."""
        readings = {
            "loop_lag_seconds": self._lag.mean_s,
            "loop_lag_worst_seconds": self._lag.worst_s,
            "unread_answer_bytes": self.unread_answers.buffered_bytes,
            "requests_under_way": self.admission.in_flight,
            "request_body_bytes": self.admission.body_bytes,
            "request_history_bytes": self.admission.histories.held_bytes,
            "request_history_bytes_bound": self.admission.histories.max_bytes,
            "request_histories_refused": self.admission.histories.refused,
            "held_answer_bytes": self.admission.answers.held_bytes,
            "held_answer_bytes_bound": self.admission.answers.max_bytes,
            "held_answers_refused": self.admission.answers.refused,
            "resident_bytes": self._resident_bytes,
            "open_descriptors": self._descriptors,
            "node_admission": int(self.admission.state),
        }
        for name, value in readings.items():
            if value is not None:
                self._metrics.gauge(name, f"{name} of this node at its last sample").set(value)
        self._expose_counts("answers_ended_unread", "reason", self.unread_answers.ended)
        self._expose_counts("node_refusals", "state", self.admission.refused)

    def _expose_counts(self, name: str, label: str, counts: dict[str, int]) -> None:
        counter = self._metrics.counter(name, f"{name} by {label}", (label,))
        for value, count in counts.items():
            counter.labels(value).inc(count - self._exposed.get((name, value), 0))
            self._exposed[name, value] = count


def _unread_bounds(settings: FleetSettings) -> ReaderBufferBounds:
    bounds = settings.node_bounds
    return ReaderBufferBounds(
        for_one=bounds.caller_bytes,
        for_all=_max_all_callers_bytes(bounds, settings.machine),
        longest_stall_s=bounds.longest_stall_s,
    )


def _max_all_callers_bytes(bounds: NodeBoundsSettings, machine: MachineSettings) -> int | None:
    """Return the configured bound, or a share of the machine's memory; ``None`` without either."""
    if bounds.all_callers_bytes:
        return bounds.all_callers_bytes
    if machine.memory_bytes is None:
        return None
    return max(bounds.caller_bytes, int(machine.memory_bytes * SHARE_OF_MEMORY))


def _capacity(settings: FleetSettings, buffered_bytes: int | None) -> NodeCapacity:
    bounds, machine = settings.node_bounds, settings.machine
    return NodeCapacity(
        late_loop_s=bounds.late_loop_s,
        very_late_loop_s=bounds.very_late_loop_s,
        held_bytes=buffered_bytes,
        under_way=bounds.most_under_way or None,
        resident_bytes=machine.memory_bytes,
        descriptors=machine.max_descriptors,
    )
