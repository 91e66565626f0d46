"""Bearer tokens of callers and operators."""

import hmac
from collections.abc import Mapping, Sequence

from passlane.errors import ErrorCode, PasslaneError
from passlane.settings.model import TokenSettings


def bearer_token(headers: Mapping[str, str]) -> str | None:
    """Return the token of an ``Authorization: Bearer`` header, if there is one."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return None
    return token.strip()


def require_token(headers: Mapping[str, str], known: Sequence[TokenSettings]) -> TokenSettings:
    """Return the settings of the request's bearer token.

    Each known token is compared in constant time, and all of them are compared, so
    that the time taken tells nothing about them.

    Raises
    ------
    PasslaneError
        ``UNAUTHORIZED`` when the token is missing or unknown.
    """
    given = (bearer_token(headers) or "").encode()
    found: TokenSettings | None = None
    for candidate in known:
        if hmac.compare_digest(given, candidate.token.encode()):
            found = candidate
    if found is None or not given:
        raise PasslaneError(ErrorCode.UNAUTHORIZED, "a known bearer token is needed")
    return found
