"""Authentication of callers and operators by bearer tokens."""

import hmac
from collections.abc import Mapping, Sequence

from passlane.errors import ErrorCode, PasslaneError
from passlane.settings.model import TokenSettings


def bearer_token(headers: Mapping[str, str]) -> str | None:
    """Return the token of an ``Authorization: Bearer`` header; ``None`` without one."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return None
    return token.strip()


def require_token(headers: Mapping[str, str], accepted: Sequence[TokenSettings]) -> TokenSettings:
    """Return the settings of the request's bearer token.

    The token is always compared with all accepted tokens, each in constant time, so that the
    response time reveals nothing about them.

    Raises
    ------
    PasslaneError
        ``UNAUTHORIZED`` when the token is missing or not accepted.
    """
    received = (bearer_token(headers) or "").encode()
    matching: TokenSettings | None = None
    for candidate in accepted:
        if hmac.compare_digest(received, candidate.token.encode()):
            matching = candidate
    if matching is None or not received:
        raise PasslaneError(ErrorCode.UNAUTHORIZED, "a valid bearer token is required")
    return matching
