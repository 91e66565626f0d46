"""Estimates of the token count of messages, for reservations and placement."""

from collections.abc import Iterable

from passlane.messages.store import Turn

BYTES_PER_TOKEN = 4
"""Average length of a token in UTF-8 bytes."""

TOKENS_PER_TURN = 4
"""Tokens for a message's role and delimiters."""


def estimate_turn_tokens(turn: Turn) -> int:
    """Return the estimated tokens of one message of a history."""
    return TOKENS_PER_TURN + -(-len(turn.content.encode()) // BYTES_PER_TOKEN)


def estimate_tokens(turns: Iterable[Turn]) -> int:
    """Return the estimated tokens of several messages."""
    return sum(estimate_turn_tokens(turn) for turn in turns)
