"""Knows the requests under which too many engines have ended, or may have, and refuses them.

Owns what this node knows of them: those of the leader of the store group, which has the ends of all
nodes, and those that this node counts itself, for when the leader doesn't answer. Without an answer
what other nodes count is unknown, so one end of its own is enough to refuse a request. The counts
are decided in ``decisions.failure.engine_ends``. Log lines: ``refused_requests_changed``,
``request_held_for_engines``.
"""

import anyio

from passlane.decisions.failure.engine_ends import (
    DOUBT_RETRY_AFTER_S,
    HOLD_CHECK_INTERVAL_S,
    MAX_HOLD_S,
    EngineEndCounts,
)
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
    """The requests that are sent to no further engine, by key, and until when.

    Attributes
    ----------
    own
        What this node counts itself.
    """

    def __init__(self, store: TurnStoreClient) -> None:
        self.own = EngineEndCounts()
        self._store = store
        self._stored_until: dict[str, float] = {}
        self._doubtful_until: dict[str, float] = {}
        self._unreported: set[str] = set()
        self._revision = ""
        self._known: anyio.Event | None = None
        self._started_at = anyio.current_time()

    @property
    def is_empty(self) -> bool:
        """Whether nothing counts against any request, so that there is no need to identify one."""
        return self.own.is_empty and not (self._stored_until or self._doubtful_until)

    def remaining_s(self, request_key: str) -> float | None:
        """Return for how many seconds a request is refused; ``None`` if it is not, or in doubt."""
        own = self.own.find(request_key)
        own_until = own.keep_until_s if own is not None and own.is_refused else 0.0
        remaining_s = max(own_until, self._stored_until.get(request_key, 0.0))
        remaining_s -= anyio.current_time()
        return remaining_s if remaining_s > 0 else None

    def is_doubtful(self, request_key: str) -> bool:
        """Whether a request may be refused, depending on what is unknown of engines."""
        if self._doubtful_until.get(request_key, 0.0) > anyio.current_time():
            return True
        own = self.own.find(request_key)
        if own is None:
            return False
        is_alone = request_key in self._unreported or self._store.is_unavailable
        return own.is_doubtful or (is_alone and own.possible_ends > 0)

    async def require_allowed(self, request_key: str, verdict: Verdict) -> None:
        """Check that a request may be sent to an engine; wait while that is in doubt.

        Raises
        ------
        RequestRefusedError
            When it is refused, and has not run so far; it may be sent again once it is forgotten,
            or once the fate of engines is known.
        RequestFailedError
            When it is refused, and may have run.
        """
        if self._is_held(request_key):
            held_at = anyio.current_time()
            while anyio.current_time() - held_at < MAX_HOLD_S:
                await anyio.sleep(HOLD_CHECK_INTERVAL_S)
                if not self._is_held(request_key):
                    break
            self._log_held(request_key, held_at)
        self.require_not_refused(request_key, verdict)

    def _is_held(self, request_key: str) -> bool:
        """Whether a request is worth holding: what is unknown may yet turn out harmless."""
        return self.remaining_s(request_key) is None and self.is_doubtful(request_key)

    def require_not_certain(self, request_key: str) -> None:
        """Check that a request that has not run is not refused for certain.

        Raises
        ------
        RequestRefusedError
            When it is refused, whatever the fate of further engines is.
        """
        if self.remaining_s(request_key) is not None:
            self.require_not_refused(request_key, Verdict.NOT_RUN)

    def require_not_refused(self, request_key: str, verdict: Verdict) -> None:
        """Check the same as ``require_allowed`` without waiting."""
        remaining_s = self.remaining_s(request_key)
        is_certain = remaining_s is not None
        if remaining_s is None and self.is_doubtful(request_key):
            remaining_s = DOUBT_RETRY_AFTER_S
        if remaining_s is None:
            return
        if verdict is not Verdict.NOT_RUN:
            raise RequestFailedError(RequestEndReason.NO_FURTHER_ENGINE_MAY_END)
        reason = RequestEndReason.ENGINES_ENDED if is_certain else RequestEndReason.ENGINES_UNKNOWN
        raise RequestRefusedError(Refusal.of(reason, round(remaining_s, RETRY_AFTER_DIGITS)))

    def set_unreported(self, request_key: str, *, is_unreported: bool) -> None:
        """Set whether the store group lacks facts of this node about a request."""
        if is_unreported:
            self._unreported.add(request_key)
        else:
            self._unreported.discard(request_key)

    def apply(self, found: TurnStoreFound) -> None:
        """Take over the refused requests of the leader; a leader of an older build has none."""
        if not found.refused_revision:
            return
        now = anyio.current_time()
        before = len(self._stored_until)
        self._stored_until = {
            refused.request_key: now + refused.remaining_s
            for refused in found.refused
            if refused.is_certain
        }
        self._doubtful_until = {
            refused.request_key: now + refused.remaining_s
            for refused in found.refused
            if not refused.is_certain
        }
        if self._revision != found.refused_revision:
            _log.info(
                "refused_requests_changed",
                count=len(self._stored_until),
                before=before,
                doubtful=len(self._doubtful_until),
                own=len(self.own.refused()),
                revision=found.refused_revision,
            )
        self._revision = found.refused_revision
        if self._known is not None:
            self._known.set()

    def expire(self, now: float) -> None:
        """Forget what is no longer refused at local time ``now``."""
        self.own.expire(now)
        for refused in (self._doubtful_until, self._stored_until):
            for key in [key for key, until in refused.items() if until <= now]:
                del refused[key]

    def _log_held(self, request_key: str, held_at: float) -> None:
        own = self.own.find(request_key)
        _log.info(
            "request_held_for_engines",
            request_key=request_key,
            held_s=round(anyio.current_time() - held_at, 3),
            is_refused=self.remaining_s(request_key) is not None,
            is_doubtful=self.is_doubtful(request_key),
            own_ends=len(own.instances) if own is not None else 0,
            own_unknown=len(own.unknown) if own is not None else 0,
            is_unreported=request_key in self._unreported,
        )

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
