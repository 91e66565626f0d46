"""Estimates of how many tokens a text has, for reservations and placement."""

from collections.abc import Iterable

from passlane.messages.store import Turn

BYTES_PER_TOKEN = 4
"""Usual length of a token in UTF-8 bytes."""

TOKENS_PER_TURN = 4
"""Tokens that mark a message's role and its borders."""


def estimate_turn_tokens(turn: Turn) -> int:
    """Return the estimated tokens of one message of a history."""
    return TOKENS_PER_TURN + -(-len(turn.content.encode()) // BYTES_PER_TOKEN)


def estimate_tokens(turns: Iterable[Turn]) -> int:
    """Return the estimated tokens of several messages."""
    return sum(estimate_turn_tokens(turn) for turn in turns)
