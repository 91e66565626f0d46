"""Knows the requests under which too many engines have ended, and refuses them.

Owns what this node knows of them: those of the leader of the store group, which has the ends of all
nodes, and those that this node counts itself, for when the leader doesn't answer. The counts are
decided in ``decisions.failure.engine_ends``. Log line: ``refused_requests_changed``.
"""

import anyio

from passlane.errors import PasslaneError, Verdict
from passlane.messages.turns import TurnStoreFound
from passlane.observability.logging import get_logger
from passlane.relay.end_reasons import RequestEndReason
from passlane.relay.request_errors import Refusal, RequestFailedError, RequestRefusedError
from passlane.turns.client import TurnStoreClient

FIRST_ANSWER_TIMEOUT_S = 0.3
"""Time after the start during which requests wait until the refused ones are known; a store group
that starts at the same moment takes longer, and does not hold up requests that don't need it."""
RETRY_INTERVAL_S = 1.0
"""Interval between requests for the refused requests while the store group doesn't answer them."""
RETRY_AFTER_DIGITS = 1
"""Digits of the retry-after time, in seconds."""

_log = get_logger(__name__)


class RefusedRequests:
    """The requests that are sent to no further engine, by key, and until when."""

    def __init__(self, store: TurnStoreClient) -> None:
        self._store = store
        self._own_until: dict[str, float] = {}
        self._stored_until: dict[str, float] = {}
        self._revision = ""
        self._known: anyio.Event | None = None
        self._started_at = anyio.current_time()

    @property
    def is_empty(self) -> bool:
        """Whether no request is refused, so that there is no need to identify one."""
        return not (self._own_until or self._stored_until)

    def remaining_s(self, request_key: str) -> float | None:
        """Return for how many seconds a request is refused; ``None`` if it may be sent."""
        until = max(self._own_until.get(request_key, 0.0), self._stored_until.get(request_key, 0.0))
        remaining_s = until - anyio.current_time()
        return remaining_s if remaining_s > 0 else None

    def require_not_refused(self, request_key: str, verdict: Verdict) -> None:
        """Check that a request may be sent to an engine.

        Raises
        ------
        RequestRefusedError
            When it is refused, and has not run so far; it may be sent again once it is forgotten.
        RequestFailedError
            When it is refused, and may have run.
        """
        remaining_s = self.remaining_s(request_key)
        if remaining_s is None:
            return
        if verdict is not Verdict.NOT_RUN:
            raise RequestFailedError(RequestEndReason.NO_FURTHER_ENGINE_MAY_END)
        retry_after_s = round(remaining_s, RETRY_AFTER_DIGITS)
        raise RequestRefusedError(Refusal.of(RequestEndReason.ENGINES_ENDED, retry_after_s))

    def add_own(self, request_key: str, until: float) -> None:
        """Refuse a request by this node's own count, until a local time."""
        self._own_until[request_key] = until

    def apply(self, found: TurnStoreFound) -> None:
        """Take over the refused requests of the leader; a leader of an older build has none."""
        if not found.refused_revision:
            return
        now = anyio.current_time()
        before = len(self._stored_until)
        self._stored_until = {
            refused.request_key: now + refused.remaining_s for refused in found.refused
        }
        if self._revision != found.refused_revision:
            _log.info(
                "refused_requests_changed",
                count=len(self._stored_until),
                before=before,
                own=len(self._own_until),
                revision=found.refused_revision,
            )
        self._revision = found.refused_revision
        if self._known is not None:
            self._known.set()

    def expire(self, now: float) -> None:
        """Forget what is no longer refused at local time ``now``."""
        for refused in (self._own_until, self._stored_until):
            for key in [key for key, until in refused.items() if until <= now]:
                del refused[key]

    async def wait_until_known(self) -> None:
        """Shortly after the start, wait until the leader's refused requests are known."""
        if self._known is None or self._known.is_set():
            return
        with anyio.CancelScope(deadline=self._started_at + FIRST_ANSWER_TIMEOUT_S):
            await self._known.wait()

    async def follow(self) -> None:
        """Follow the refused requests of the leader until cancelled."""
        self._known = anyio.Event()
        while True:
            try:
                found = await self._store.wait_for_refused(self._revision)
            except PasslaneError as error:
                _log.info("refused_requests_unknown", code=error.code.value)
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            self.apply(found)
            if not found.refused_revision:
                # A leader of an older build answers at once.
                await anyio.sleep(RETRY_INTERVAL_S)
