"""Starts a daemon in which one function is replaced: a soak must notice it.

``PASSLANE_SOAK_DEFECT`` names the defect. Functions are replaced before the daemon imports them.
"""

import itertools
import os
import sys

import anyio
import anyio.lowlevel

DEFECT_VARIABLE = "PASSLANE_SOAK_DEFECT"
LEAKING_TURN = 30


def place_never_given_back():
    """Forget the end of one turn, and give nothing back by time."""
    from passlane.decisions.backends.engine_table import EngineTable
    from passlane.decisions.scheduling.turn_scheduler import TurnScheduler

    numbers = itertools.count(1)
    end = TurnScheduler.end

    def end_of_all_but_one(self, ended, now):
        return [] if next(numbers) == LEAKING_TURN else end(self, ended, now)

    TurnScheduler.end = end_of_all_but_one
    EngineTable.expire = lambda self, now: []


def limit_counted_by_each_node():
    """Let each node grant from a ledger of its own."""
    from passlane.decisions.limits.quota_ledger import QuotaLedger, QuotaRules
    from passlane.turns.client import TurnStoreClient

    ledger = QuotaLedger(QuotaRules(window_s=5.0, overage=0.1, slack=10.0))

    async def draw(self, draw, *, timeout_s):
        return ledger.draw(draw, anyio.current_time())

    TurnStoreClient.draw_quota = draw


def refusal_after_a_send():
    """Say "not run" of every request that got no answer."""
    from passlane.decisions.failure import answer_verdicts

    answer_verdicts.status_without_answer = lambda verdict, *, is_late: answer_verdicts.UNAVAILABLE
    answer_verdicts.status_for_verdict = lambda status, verdict: status


def history_without_its_end():
    """Keep each turn without its answer's last byte."""
    from passlane.turns.client import TurnStoreClient

    settle = TurnStoreClient.settle

    async def settle_shortened(self, request, *, timeout_s):
        if request.turn is not None:
            import msgspec

            turn = msgspec.structs.replace(request.turn, content=request.turn.content[:-1])
            request = msgspec.structs.replace(request, turn=turn)
        return await settle(self, request, timeout_s=timeout_s)

    TurnStoreClient.settle = settle_shortened


def any_state_taken_for_ready():
    """Use an entry whatever its state is."""
    import re

    from passlane.platform import list_format

    decode = list_format.decode_page

    async def decode_any_state(body):
        return await decode(re.sub(rb'"state":"[^"]*"', b'"state":"ready"', body))

    list_format.decode_page = decode_any_state


def budget_not_counted():
    """Ask for turns as if they generated nothing."""
    import msgspec

    from passlane.turns.client import TurnStoreClient

    reserve, settle = TurnStoreClient.reserve, TurnStoreClient.settle

    async def reserve_nothing(self, request, *, timeout_s):
        free = msgspec.structs.replace(request, most_tokens=0)
        return await reserve(self, free, timeout_s=timeout_s)

    async def settle_nothing(self, request, *, timeout_s):
        free = msgspec.structs.replace(request, tokens=0)
        return await settle(self, free, timeout_s=timeout_s)

    TurnStoreClient.reserve, TurnStoreClient.settle = reserve_nothing, settle_nothing


def any_version_taken_for_the_same():
    """Let a stream go on at any engine."""
    from passlane.decisions.placement import stream_versions

    stream_versions.may_continue = lambda origin, record: True


def end_taken_for_completeness():
    """Take the end of a stream for its completeness."""
    from passlane.event_streams.whole_events import EventSplitter
    from passlane.relay.delivery import StreamDelivery

    EventSplitter.is_inside_event = False
    StreamDelivery._check_events = lambda self, answer: None


def ends_not_counted():
    """Take every engine that breaks an attempt off for one that lives."""
    from passlane.relay.engine_ends import EngineEndWatch

    async def observe_nothing(self, attempt):
        await anyio.lowlevel.checkpoint()

    EngineEndWatch.observe_broken = observe_nothing
    EngineEndWatch.observe_ended = lambda self, attempt, cause: None
    EngineEndWatch.unknown_under = lambda self, request_key: ()


def unknown_fate_taken_for_harmless():
    """Count an engine only once it is known to be gone, as soon as it breaks an attempt off."""
    from passlane.decisions.failure.engine_ends import EndedUnder, EngineEndCounts

    EngineEndCounts.record_unknown = lambda self, key, instance, now_s: self._known(key, now_s)
    EngineEndCounts.begin_attempt = lambda self, key, attempt, now_s: None
    EndedUnder.allows = lambda self, attempts, attempt: not self.is_refused


def answers_without_a_bound():
    """Read what a back end sends until it ends."""
    from passlane.event_streams import whole_events
    from passlane.runtime import http_client

    whole_events.MAX_EVENT_BYTES = sys.maxsize
    http_client._ByteStreamAdapter.begin_body = lambda self, max_bytes: setattr(
        self, "_max_bytes", sys.maxsize
    )


def age_advanced_by_each_leader():
    """Let each leader begin a step ahead of the age, whoever has advanced it before."""
    from passlane.turns.state.age_clock import AgeClock

    begin_term = AgeClock._begin_term

    def begin_ahead(self, term, now):
        begin_term(self, term, now)
        self._term_age_s += 5.0

    AgeClock._begin_term = begin_ahead


DEFECTS = {
    defect.__name__: defect
    for defect in (
        place_never_given_back,
        limit_counted_by_each_node,
        refusal_after_a_send,
        history_without_its_end,
        any_state_taken_for_ready,
        budget_not_counted,
        any_version_taken_for_the_same,
        end_taken_for_completeness,
        ends_not_counted,
        unknown_fate_taken_for_harmless,
        answers_without_a_bound,
        age_advanced_by_each_leader,
    )
}

if __name__ == "__main__":
    DEFECTS[os.environ[DEFECT_VARIABLE]]()
    from passlane.daemon.fleet_start import main

    sys.exit(main())
