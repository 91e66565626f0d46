"""Fencing tokens of requests and orders that concern one program at an engine.

Epochs are doubled, which leaves a token between two epochs: the last release of an
ended program is newer than any request of its leader, so a request that arrives at
the engine after it is refused and holds nothing.
"""

from passlane.identifiers import Epoch


def chat_token(epoch: Epoch) -> int:
    """Return the token of chat requests, and of releases while the program goes on."""
    return 2 * epoch


def final_release_token(epoch: Epoch) -> int:
    """Return the token of the release after the program's end."""
    return 2 * epoch + 1


def program_scope(program_id: str) -> str:
    """Return the scope in which an engine compares these tokens."""
    return f"program:{program_id}"
