"""What a node does with turns that are too large to be stored.

Guards against turns that an engine runs although their conversation can never be gone on from.
"""

import unittest

from passlane.decisions.limits.turn_storage import MAX_CHAIN_BYTES, MAX_INPUT_BYTES
from passlane.messages.placement import TurnRefused, TurnsFull, TurnTooLarge
from passlane.messages.turns import TurnReserved
from passlane.relay.end_reasons import RequestEndReason
from relay.fakes import Script, ScriptedStore, head
from relay.test_service import TURNS, RelayCase

EVENT = b"id: 1\ndata: 1\n\n"
NOT_STORED = {"keeps_turns": False}


def refused(*, retry_after_s=0.0, **why):
    return TurnRefused(retry_after_s=retry_after_s, waiting=0, busy_share=0.0, **why)


class RefusedTurnTest(RelayCase):
    def test_a_turn_with_too_long_a_conversation_gets_413_and_is_not_sent(self):
        too_large = TurnTooLarge(13_000_000, 10, MAX_INPUT_BYTES)
        store = ScriptedStore(refused(too_large=too_large))
        self.relay([Script(head(), EVENT)], store=store, **TURNS)
        self.assertEqual((self.writer.status, self.backends.requests), (413, []))
        self.assertIsNone(self.writer.retry_after_s)

    def test_a_turn_for_which_there_is_no_memory_gets_503_and_the_time_to_come_back(self):
        full = refused(retry_after_s=42.0, full=TurnsFull(9, 1, 10))
        self.relay([Script(head(), EVENT)], store=ScriptedStore(full), **TURNS)
        self.assertEqual((self.writer.status, self.backends.requests), (503, []))
        self.assertEqual(self.writer.retry_after_s, 42.0)

    def test_a_turn_that_an_older_store_admits_is_checked_by_the_node(self):
        reserved = TurnReserved(history=bytes(MAX_INPUT_BYTES + 1))
        store = ScriptedStore(reserved)
        self.relay([Script(head(), EVENT)], store=store, **TURNS)
        self.assertEqual((self.writer.status, self.backends.requests), (413, []))
        self.assertEqual([settled.tokens for settled in store.settled], [0])

    def test_the_store_is_told_the_size_only_of_turns_that_are_stored(self):
        self.relay([Script(head(), EVENT)], **TURNS)
        self.assertIsNotNone(self.store.reserved[0].input_bytes)
        self.relay([Script(head(), EVENT)], call_changes={"budget": 9}, **(TURNS | NOT_STORED))
        self.assertIsNone(self.store.reserved[0].input_bytes)


class OutputTest(RelayCase):
    def test_an_answer_that_outgrows_the_bound_ends_and_is_not_stored(self):
        """It would be told as whole although no turn could go on from it."""
        large = b"id: 1\ndata: " + b"x" * 2_000_000 + b"\n\n"
        store = ScriptedStore(TurnReserved(history=bytes(MAX_INPUT_BYTES - 100)))
        self.relay([Script(head(), EVENT, large, EVENT)], store=store, **TURNS)
        self.assertIs(self.error.code, RequestEndReason.TURN_OUTGREW_BOUND)
        self.assertEqual([settled.turn for settled in store.settled], [None])
        self.assertLess(len(self.writer.body), MAX_CHAIN_BYTES)


if __name__ == "__main__":
    unittest.main()
