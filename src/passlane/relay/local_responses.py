"""Answers callers with responses that this node generates.

Unreadable requests are refused earlier, by ``platform.client_ingress``. A refusal never promises
more than the attempts of its request prove (``decisions.failure.answer_verdicts``).
"""

from passlane.decisions.failure.answer_verdicts import status_for_verdict
from passlane.errors import Verdict
from passlane.observability.logging import get_logger
from passlane.relay.backends import AnswerWriter
from passlane.relay.progress import RequestProgress
from passlane.relay.request_errors import AnswerAbortedError, Refusal

_log = get_logger(__name__)


class LocalResponses:
    """Refuses one request, and records the refusal for the request's log line."""

    def __init__(self, writer: AnswerWriter, progress: RequestProgress) -> None:
        self._writer = writer
        self._progress = progress

    async def refuse(self, refusal: Refusal, verdict: Verdict = Verdict.NOT_RUN) -> None:
        """Send a final answer that this node generates, with a status that the verdict allows.

        Parameters
        ----------
        verdict
            Whether the request may have run so far.

        Raises
        ------
        AnswerAbortedError
            When a backend's answer has already begun.
        """
        self._progress.end = refusal.end
        if self._writer.has_started:
            raise AnswerAbortedError(refusal.end)
        status = self._provable_status(refusal, verdict)
        self._progress.status = status
        await self._writer.refuse(status, refusal.end.text, refusal.retry_after_s)

    def _provable_status(self, refusal: Refusal, verdict: Verdict) -> int:
        provable = status_for_verdict(refusal.status, verdict)
        if provable != refusal.status:
            _log.error(
                "refusal_withheld",
                request_id=self._progress.request_id,
                status=refusal.status,
                reason=refusal.end.text,
                verdict=verdict.value,
            )
        return provable
