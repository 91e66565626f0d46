"""What became of one request: the facts of its line ``request_ended`` and of its metrics.

Owns these facts; whoever serves the request notes them.
"""

import msgspec

from passlane.errors import Verdict
from passlane.messages.routes import Route
from passlane.relay.end_reasons import RequestEnd, RequestEndReason


class RequestProgress(msgspec.Struct):
    """Facts gathered while a request is served.

    Attributes
    ----------
    version
        Version of the configuration that the request was served by.
    route, service
        Names, once they are chosen.
    tenant
        Name of the tenant on whose behalf it came; empty without one.
    priority
        The tenant's, or else the route's.
    target_latency_s
        Of the route.
    status
        Status told to the caller; 0 for none.
    end
        Why the request ended as it did.
    tried
        Instances that it was sent to, in order.
    reserved_s
        Seconds from its arrival until its turn was reserved.
    quota_wait_s
        Seconds that its tenant's limit made it wait; ``None`` without a limit.
    place_wait_s
        Seconds that its turn waited for a place at an engine.
    room_wait_s
        Seconds that it waited for room at its back ends; 0 without such a wait.
    events
        Events of a stream that were written to the caller.
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
    reserved_s: float | None = None
    quota_wait_s: float | None = None
    place_wait_s: float | None = None
    first_part_s: float | None = None
    room_wait_s: float = 0.0

    def note_route(self, route: Route) -> None:
        """Note the route that was found."""
        self.route = route.name
        self.kind = route.kind.value
        self.target_latency_s = route.target_latency_s

    def is_in_time(self, elapsed_s: float) -> bool | None:
        """Whether the answer came within the route's target; ``None`` without an answer.

        A stream's time counts to its first part, any other answer's to its end.
        """
        if self.first_part_s is None:
            return None
        taken_s = self.first_part_s if self.events else elapsed_s
        return taken_s <= self.target_latency_s
