"""Attempts that did not end with a whole good answer, and what shows the fate of their engines.

Owns no state: ``relay.engine_ends`` collects the attempts and the evidence.
"""

import enum

import msgspec

from passlane.messages.engine_ends import AttemptFate, EngineEnd
from passlane.messages.listing import BackendRecord, BackendState
from passlane.runtime.reach import LIFE_PROOF_DELAY_S, BackendReach

BORN_PROOF_DELAY_S = 2.5
"""As ``LIFE_PROOF_DELAY_S`` for an engine that may start again under its id: only a list that was
read since tells the starts apart."""


class EndEvidence(enum.StrEnum):
    """What shows that an engine is gone."""

    REFUSED_CONNECTION = "refused_connection"
    OTHER_INSTANCE = "other_instance"
    NOT_LISTED = "not_listed"


class LifeEvidence(enum.StrEnum):
    """What shows that an engine lived on."""

    ANSWERED = "answered"
    DRAINING = "draining"


class UnknownFate(enum.StrEnum):
    """Why the fate of an attempt's engine is unknown."""

    BROKE_OFF = "broke_off"
    SILENT = "silent"
    LEFT = "left"
    """The caller left, the time was over, or this node ended the attempt."""
    ERROR_ANSWER = "error_answer"


SHOWN_BY = {
    BackendReach.REFUSED: EndEvidence.REFUSED_CONNECTION,
    BackendReach.OTHER_INSTANCE: EndEvidence.OTHER_INSTANCE,
}
"""What a check shows of an engine that is gone."""


class ObservedAttempt(msgspec.Struct, frozen=True):
    """An attempt at a request, and the engine that may have run it.

    Attributes
    ----------
    attempt_id
        The caller's id of the attempt.
    health_path
        Path of the health check of the engine's service.
    """

    request_key: str
    attempt_id: str
    backend: BackendRecord
    health_path: str

    @property
    def instance(self) -> str:
        """The start of the engine, as it was listed."""
        return self.backend.incarnation

    @property
    def counted_as(self) -> str:
        """The name under which its engine counts, once for each start.

        An engine that may start again under its id may have done so since it was listed, so each
        attempt counts by itself.
        """
        if self.backend.born_ms is None:
            return self.instance
        return f"{self.instance}/{self.attempt_id}"

    @property
    def end(self) -> EngineEnd:
        """The report that its engine has ended."""
        return EngineEnd(request_key=self.request_key, instance=self.counted_as)

    def fate(self, *, is_alive: bool) -> AttemptFate:
        """Return the report that its engine lived on, or that its fate is unknown."""
        return AttemptFate(
            request_key=self.request_key, instance=self.counted_as, is_alive=is_alive
        )


class UnresolvedAttempt(msgspec.Struct, frozen=True):
    """An attempt whose engine's fate is unknown since a local time."""

    attempt: ObservedAttempt
    since: float

    @property
    def is_drained(self) -> bool:
        """Whether the engine was leaving when the attempt began."""
        return self.attempt.backend.state is BackendState.DRAINING

    @property
    def life_proof_at(self) -> float:
        """Time from which a sent request proves by its answer that the engine lived on."""
        may_keep_id = self.attempt.backend.born_ms is not None
        return self.since + (BORN_PROOF_DELAY_S if may_keep_id else LIFE_PROOF_DELAY_S)
