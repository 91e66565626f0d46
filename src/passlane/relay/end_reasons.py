"""Why a relayed request ended: one member for each reason, and where it is decided.

A reason's text is the field ``reason`` of the log line ``request_ended`` and of the body of an
answer of this system's own. Operators and callers read it, so texts stay as they are.
"""

import enum

import msgspec

UNAUTHORIZED = 401
PAYMENT_REQUIRED = 402
NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503


class Told(enum.Enum):
    """What the caller gets."""

    ANSWER = "answer"
    """The answer of a back end, whole."""
    REFUSAL = "refusal"
    """An answer of this system's own, with the reason's status and text."""
    BY_VERDICT = "by_verdict"
    """An answer of this system's own; ``decisions.failure.answer_verdicts`` gives the status: 503
    if the request certainly did not run, else 502, or 504 if its time was over. Once a back
    end's answer has begun, the connection is closed instead."""
    CLOSED_CONNECTION = "closed_connection"
    """The part of the answer that had come, then the end of the connection."""
    NOTHING = "nothing"
    """Nobody is there any more to be answered."""


class RequestEndReason(enum.Enum):
    """Why a request ended.

    Attributes
    ----------
    text
        As logged and as told to the caller; ``{detail}`` stands for what only the case tells.
    told
        What the caller gets.
    status
        Status of the refusal; ``None`` where there is none, or where the verdict gives it.
    decided_in
        The module below ``passlane`` that decides it.
    """

    def __init__(self, text: str, told: Told, status: int | None, decided_in: str) -> None:
        self.text = text
        self.told = told
        self.status = status
        self.decided_in = decided_in

    ANSWERED = ("answered", Told.ANSWER, None, "decisions.failure.answer_verdicts")
    """A back end's answer was passed on; also if its status is an error. The lines
    ``backend_chosen`` or ``plain_backend_chosen`` tell why that back end."""

    NO_CONFIGURATION = ("no_configuration", Told.REFUSAL, UNAVAILABLE, "relay.service")
    """The node has had no configuration since its start (``START_WAIT_S``)."""
    NO_ROUTE = ("no_route", Told.REFUSAL, NOT_FOUND, "routes.table")
    """No route has this host and path, in the configuration of the field ``version``."""
    NO_KNOWN_KEY = ("no_known_key", Told.REFUSAL, UNAUTHORIZED, "routes.tenants")
    """The request carries no key, several, or one of no tenant (field ``keys``)."""
    REQUEST_UNDER_WAY = ("request_under_way", Told.REFUSAL, CONFLICT, "relay.service")
    """This node serves a request with the same id at this moment."""
    NODE_AT_ITS_BOUNDS = (
        "node_at_its_bounds",
        Told.REFUSAL,
        UNAVAILABLE,
        "decisions.admission.node_load",
    )
    """The node can't carry more: see its last line ``node_admission_changed``."""

    STORE_DID_NOT_ANSWER = ("store_{detail}", Told.REFUSAL, UNAVAILABLE, "turns.client")
    """The store group did not reserve the turn, or whoever grants did not count the request;
    the detail is an ``ErrorCode``. Where it was one more run that could not be counted, the
    status goes by the verdict (``relay.another_run``)."""
    QUOTA_SPENT = (
        "quota_spent",
        Told.REFUSAL,
        TOO_MANY_REQUESTS,
        "decisions.limits.quota_ledger",
    )
    """The tenant's limit leaves no room: see the line ``quota_refused``. Where it was one more
    run that found none, the status goes by the verdict (``relay.another_run``)."""
    BUDGET_SPENT = ("budget_spent", Told.REFUSAL, PAYMENT_REQUIRED, "turns.state")
    """What is left of the program's budget is less than the turn may generate. Where it was one
    more run that found none left, the status goes by the verdict (``relay.another_run``). See the
    line ``budget_refused``."""
    TURN_UNKNOWN = ("turn_unknown", Told.REFUSAL, NOT_FOUND, "turns.state")
    """The store group keeps no turn of the name that the request goes on with."""
    NO_ROOM = ("no_room", Told.REFUSAL, UNAVAILABLE, "decisions.admission.program_admission")
    """No engine has room for a new program: see the line ``room_refused``."""

    NO_BACK_END = (
        "no back end took the request",
        Told.REFUSAL,
        UNAVAILABLE,
        "decisions.order.service_room",
    )
    """It did not run anywhere, and what is left of its time is too little for an answer: see
    ``backend_refused`` for each attempt and ``room_wait_ended`` with ``has_turn`` false."""
    NO_FURTHER_BACK_END = (
        "no further back end took the request",
        Told.BY_VERDICT,
        None,
        "decisions.order.service_room",
    )
    """The same, after an attempt that may have run."""
    BROKE_OFF = ("{detail}", Told.BY_VERDICT, None, "decisions.failure.resending")
    """An attempt that may have run gave no whole answer, and none may follow; the detail is
    what the connection showed (``HttpConnectionError``)."""
    OUT_OF_TIME = ("out_of_time", Told.BY_VERDICT, None, "relay.request")
    """The caller's deadline or the route's ``timeout_s`` was over."""
    TURN_NOT_DURABLE = (
        "turn_not_durable_{detail}",
        Told.CLOSED_CONNECTION,
        None,
        "relay.answer_delivery",
    )
    """All events were passed on, but the store group did not confirm the turn; the detail is an
    ``ErrorCode``."""

    STOPPED = ("stopped", Told.REFUSAL, UNAVAILABLE, "relay.request")
    """The node stopped. Only a request that did not run is answered."""
    CLIENT_LEFT = ("client_left", Told.NOTHING, None, "platform.client_ingress")
    """The caller closed its connection."""
    CONNECTION_ENDED = ("{detail}", Told.NOTHING, None, "decisions.admission.held_bytes")
    """This node ended the connection of a caller that read too little: see the line
    ``answer_ended_unread``, whose reason is the detail."""


class BreakReason(enum.Enum):
    """Why the relay itself takes an attempt for broken: details of ``BROKE_OFF``.

    All others are texts of ``HttpConnectionError``, which the HTTP client raises.
    """

    NO_ANSWER = "no answer for too long"
    """A repeatable request turned from a silent back end (``decisions.failure.resending``)."""
    NOT_AN_ANSWER = "not an answer to this request"
    """The answer did not prove to be one to the request: see the line
    ``backend_answer_untrusted`` (``decisions.failure.answer_verdicts``)."""
    STREAM_DID_NOT_GO_ON = "the stream did not go on"
    """A second engine answered with another status than the first (``relay.delivery``)."""


class RequestEnd(msgspec.Struct, frozen=True):
    """How one request ended: the reason, and what only its case tells."""

    reason: RequestEndReason
    detail: str = ""

    @property
    def text(self) -> str:
        """The reason as it is logged and told to the caller."""
        return self.reason.text.format(detail=self.detail)


def end_of_connection(abandon_reason: str) -> RequestEnd:
    """Return the end of a request whose caller's connection has ended for this reason."""
    if abandon_reason == RequestEndReason.CLIENT_LEFT.text:
        return RequestEnd(RequestEndReason.CLIENT_LEFT)
    return RequestEnd(RequestEndReason.CONNECTION_ENDED, abandon_reason)
