"""Reports what became of engines under requests to the leader of the store group.

Owns nothing but its reports (``relay.background_reports``). Log lines: ``engine_ends_delayed``,
``engine_ends_not_reported``.
"""

from collections import Counter

from anyio.abc import TaskGroup

from passlane.errors import PasslaneError
from passlane.messages.engine_ends import AttemptFate, EngineEnd
from passlane.observability.logging import get_logger
from passlane.relay.background_reports import REPORT_TIMEOUT_S, BackgroundReports
from passlane.relay.refused_requests import RefusedRequests
from passlane.turns.client import TurnStoreClient

MAX_UNREPORTED = 5_000
"""Bounds memory while the store group doesn't answer; the oldest give way."""
MAX_REPORT_DELAY_S = 30.0
"""Time after which facts that could not be reported are dropped; this node still counts them."""

Fact = EngineEnd | AttemptFate

_log = get_logger(__name__)


class EndReports:
    """Reports ends and fates until the store group has them.

    Parameters
    ----------
    refused
        Gets the refused requests that come with the answers, and the requests of which the store
        group does not have all facts.
    tasks
        Task group for the reports, which outlive a request.
    """

    def __init__(self, store: TurnStoreClient, refused: RefusedRequests, tasks: TaskGroup) -> None:
        self._store = store
        self._refused = refused
        self._unreported: Counter[str] = Counter()
        self._reports: BackgroundReports[Fact] = BackgroundReports(
            self._send, self._log_dropped, MAX_REPORT_DELAY_S, tasks, self._note_removed
        )

    def add(self, fact: Fact) -> None:
        """Report a fact in the background."""
        if not self._reports.add(fact):
            return
        self._unreported[fact.request_key] += 1
        self._refused.set_unreported(fact.request_key, is_unreported=True)
        if len(self._reports) > MAX_UNREPORTED:
            self._reports.drop_oldest()

    async def wait_until_reported(self, fact: Fact) -> None:
        """Return once the store group has a fact, or it was dropped."""
        await self._reports.wait_until_reported(fact)

    async def _send(self, facts: tuple[Fact, ...]) -> bool:
        ends = tuple(fact for fact in facts if isinstance(fact, EngineEnd))
        fates = tuple(fact for fact in facts if isinstance(fact, AttemptFate))
        try:
            found = await self._store.report_engine_ends(ends, fates, timeout_s=REPORT_TIMEOUT_S)
        except PasslaneError as error:
            _log.info("engine_ends_delayed", count=len(facts), code=error.code.value)
            return False
        self._refused.apply(found)
        return True

    def _note_removed(self, fact: Fact) -> None:
        """Note that a fact was reported or dropped."""
        self._unreported[fact.request_key] -= 1
        if not self._unreported[fact.request_key]:
            del self._unreported[fact.request_key]
            self._refused.set_unreported(fact.request_key, is_unreported=False)

    def _log_dropped(self, facts: tuple[Fact, ...]) -> None:
        _log.warning(
            "engine_ends_not_reported",
            count=len(facts),
            first=facts[0].request_key,
            kept=len(self._reports),
        )
