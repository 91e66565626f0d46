"""Records what one request's log line ``request_ended`` and its metrics report.

Owns these records; the modules that serve the request fill them in.
"""

import msgspec

from passlane.errors import Verdict
from passlane.messages.routes import Route
from passlane.relay.end_reasons import RequestEnd, RequestEndReason


class RequestProgress(msgspec.Struct):
    """Facts recorded while a request is served.

    Attributes
    ----------
    version
        Version of the configuration that applies to the request.
    route, service
        Names, once they are chosen.
    tenant
        Name of the tenant; empty without one.
    priority
        The tenant's, or else the route's.
    target_latency_s
        Target latency of the route.
    status
        Status of an answer that this node generated; 0 without one.
    end
        Why the request ended.
    tried
        Instances that it was sent to, in order.
    reserved_s
        Seconds from its arrival until its turn was reserved.
    quota_wait_s
        Seconds that it waited for its tenant's limit; ``None`` without a limit.
    place_wait_s
        Seconds that its turn waited for a slot of an engine.
    room_wait_s
        Seconds that it waited for backend capacity; 0 without such a wait.
    events
        Number of stream events written to the caller.
    software_version
        Version of the software that began the caller's stream; empty without a stream, or if it
        is unknown.
    framing
        What marks the end of the last answer of a backend; empty without one.
    request_key
        Identifies the request over all its attempts; empty unless engines ended under it.
    unfinished_bytes
        Bytes behind the last complete event of the last answer of a stream.
    """

    request_id: str
    version: int = 0
    tenant: str = ""
    route: str = ""
    service: str = ""
    kind: str = "none"
    priority: int | None = None
    target_latency_s: float = 0.0
    status: int = 0
    end: RequestEnd = RequestEnd(RequestEndReason.ANSWERED)
    verdict: Verdict = Verdict.NOT_RUN
    tried: list[str] = msgspec.field(default_factory=list)
    events: int = 0
    software_version: str = ""
    framing: str = ""
    request_key: str = ""
    unfinished_bytes: int = 0
    reserved_s: float | None = None
    quota_wait_s: float | None = None
    place_wait_s: float | None = None
    first_part_s: float | None = None
    room_wait_s: float = 0.0

    def record_route(self, route: Route) -> None:
        """Record the matching route."""
        self.route = route.name
        self.kind = route.kind.value
        self.target_latency_s = route.target_latency_s

    def is_in_time(self, elapsed_s: float) -> bool | None:
        """Whether the answer met the route's target latency; ``None`` without an answer.

        The time of a stream ends with its first part, that of any other answer with its end.
        """
        if self.first_part_s is None:
            return None
        taken_s = self.first_part_s if self.events else elapsed_s
        return taken_s <= self.target_latency_s
