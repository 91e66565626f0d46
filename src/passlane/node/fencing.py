"""Fencing tokens of the requests and orders that a node sends to an engine for a program.

The token of an epoch is ``2 * epoch``. ``2 * epoch + 1`` is the token of the final release of
an ended program: it is greater than the token of every request of the same leader, so the
engine refuses a request that arrives after the release.
"""

from passlane.identifiers import Epoch


def chat_token(epoch: Epoch) -> int:
    """Return the token of chat requests, and of releases while the program is running."""
    return 2 * epoch


def final_release_token(epoch: Epoch) -> int:
    """Return the token of the release after the program has ended."""
    return 2 * epoch + 1


def program_scope(program_id: str) -> str:
    """Return the scope within which an engine compares these tokens."""
    return f"program:{program_id}"
