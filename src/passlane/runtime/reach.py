"""Finds out whether something listens at the address of a back end."""

import enum

from passlane.messages.common import Address
from passlane.runtime.interfaces import HttpClient, HttpConnectionError

LIFE_PROOF_DELAY_S = 0.5
"""Time for which a back end must live after an attempt that it did not complete to count as one
that lives: a process that is about to end may still accept connections and answer."""


class BackendReach(enum.StrEnum):
    """What came of opening a connection to a backend."""

    ACCEPTED = "accepted"
    """Something listens at its address: the backend, or another one after it."""
    REFUSED = "refused"
    """Nothing listens at its address, so its process has ended."""
    NO_ANSWER = "no_answer"
    """Its host did not answer: it may be gone, or the path to it may be cut."""
    SAME_INSTANCE = "same_instance"
    """The backend itself answered a request."""
    OTHER_INSTANCE = "other_instance"
    """Another backend answered at its address, so its process has ended."""


async def check_reach(http: HttpClient, address: Address) -> BackendReach:
    """Try to open a connection; return what came of it."""
    try:
        await http.try_connect(address)
    except HttpConnectionError as error:
        return BackendReach.REFUSED if error.is_refused else BackendReach.NO_ANSWER
    return BackendReach.ACCEPTED
