"""What a refusal may say of an operation that an earlier request may have started.

A caller that lost an answer sends the same operation again, under the same key or
sequence number; a node that lost a program's leader sends the same call again, whatever it
is. If the repeat is refused, ``not_run`` would be read as a word about the operation, so it
is only said where the program's record shows that nothing ran.
"""

from passlane.errors import Verdict
from passlane.messages.node import CallRefused, CallRequest
from passlane.messages.store import CallKind, CallState
from passlane.node.led_program import LedProgram
from passlane.programs.call_identity import call_id_of


def may_be_repeat(request: CallRequest) -> bool:
    """Return whether an earlier request may have started the same operation."""
    return request.is_resent or (request.kind is CallKind.TOOL and request.is_named)


def verdict_without_record(request: CallRequest) -> Verdict:
    """Return the verdict of a refusal by a process that has not seen the program's record."""
    return Verdict.MAY_HAVE_RUN if may_be_repeat(request) else Verdict.NOT_RUN


class RefusalJudge:
    """Decides for the program's leader what a refusal of one request may say."""

    def __init__(self, request: CallRequest) -> None:
        self._request = request
        self._is_new = not may_be_repeat(request)

    def note_record(self, program: LedProgram, *, is_under_way: bool) -> None:
        """Take in the program's record as it was when the request arrived.

        Where it holds no such call, nothing ran before, and the refusal's own word counts,
        unless the call waits or runs and is only about to be recorded.

        Parameters
        ----------
        is_under_way
            Whether the same call waits or runs here for another request.
        """
        if call_id_of(self._request) not in program.calls and not is_under_way:
            self._is_new = True

    def note_joined(self, program: LedProgram) -> None:
        """Take in that the request shares the fate of the call that waits or runs here.

        Where the record holds no such call, that call's own word counts from here on.
        """
        self.note_record(program, is_under_way=False)

    def verdict(self, program: LedProgram | None) -> Verdict:
        """Return the verdict in place of ``not_run``; ``program`` is as in memory now."""
        if self._is_new:
            return Verdict.NOT_RUN
        call = None if program is None else program.calls.get(call_id_of(self._request))
        if program is None or call is None:
            return Verdict.MAY_HAVE_RUN
        if call.state is CallState.FINISHED and call.outcome is not None:
            return call.outcome.verdict
        open_call = program.open_call
        if open_call is not None and open_call.call.call_id == call.call_id:
            return Verdict.NOT_RUN if open_call.proved_not_run else Verdict.MAY_HAVE_RUN
        return Verdict.MAY_HAVE_RUN


def refusal_with_verdict(refused: CallRefused, verdict: Verdict) -> CallRefused:
    """Return the refusal; where it says ``not_run``, with ``verdict`` instead."""
    if refused.verdict is not Verdict.NOT_RUN:
        return refused
    return CallRefused(refused.code, refused.message, verdict, refused.retry_after_s)
