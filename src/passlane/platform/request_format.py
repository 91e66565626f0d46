"""Parses a client's HTTP request on the platform into a ``RelayedCall``."""

import math
from collections.abc import Sequence

from passlane.decisions.inputs.relayed_call import Header, ProgramContext, PromptPart, RelayedCall
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.number_bounds import MAX_COMPARED_NUMBER, MAX_WHOLE_NUMBER, parse_count
from passlane.platform import names
from passlane.routes.tenants import digest_of_key

MILLISECONDS_PER_SECOND = 1_000.0
NO_DEADLINE = float("inf")
EXPECTED_TIME = "expected a finite number of milliseconds"
_NOT_FORWARDED = names.CONNECTION_HEADERS | names.RESERVED_HEADERS | names.CREDENTIAL_HEADERS


def parse_call(
    method: str,
    target: str,
    headers: Sequence[Header],
    body: bytes,
    now: float,
    caller_host: str = "",
) -> RelayedCall:
    """Return the call of a request.

    Parameters
    ----------
    target
        Path and query.
    headers
        In the order of the request, with names in lower case.
    now
        Local time, in seconds, at which the request arrived.
    caller_host
        Host that the connection comes from; empty if unknown.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when a header is missing, malformed, or has a number beyond its bound.
    """
    values = {header.name: header.value for header in headers}
    request_id = values.get(names.ATTEMPT_ID, "")
    if not request_id:
        raise PasslaneError(ErrorCode.BAD_REQUEST, f"{names.ATTEMPT_ID} is missing")
    return RelayedCall(
        request_id=request_id,
        method=method,
        host=values.get("host", ""),
        target=target,
        headers=_forwarded_headers(headers, values.get("connection", "")),
        dropped_headers=_reserved_names(headers),
        key_digests=_key_digests(headers),
        body=body,
        arrived_at=now,
        deadline_at=_parse_deadline(values, names.DEADLINE_MS, now) or NO_DEADLINE,
        program=_program_of(values, now),
        most_tokens=_max_tokens(values),
        prompt_parts=_prompt_parts(values.get(names.PROMPT_PREFIX, "")),
        previous_turn=values.get(names.PREVIOUS_TURN) or None,
        last_event_id=values.get(names.LAST_EVENT_ID) or None,
        resumes=values.get(names.RESUMES) or None,
        content_headers=_content_headers(headers),
        caller_host=caller_host,
    )


def _forwarded_headers(headers: Sequence[Header], connection: str) -> tuple[Header, ...]:
    hop_by_hop = {name.strip().lower() for name in connection.split(",")}
    dropped = _NOT_FORWARDED | hop_by_hop
    return tuple(header for header in headers if header.name not in dropped)


def _content_headers(headers: Sequence[Header]) -> tuple[str, ...]:
    """Return the headers that are part of the content, with their names, in the order of these.

    The order of the request is kept among headers of one name.
    """
    found = [header for header in headers if header.name in names.CONTENT_HEADERS]
    ordered = sorted(found, key=lambda header: header.name)
    return tuple(f"{header.name}: {header.value}" for header in ordered)


def _reserved_names(headers: Sequence[Header]) -> tuple[str, ...]:
    """Return the distinct names of reserved headers that a client has set."""
    found = [header.name for header in headers if header.name in names.RESERVED_HEADERS]
    return tuple(dict.fromkeys(found))


def _key_digests(headers: Sequence[Header]) -> tuple[bytes, ...]:
    """Return the digests of all API keys of a request; the keys themselves are not retained."""
    return tuple(digest_of_key(header.value) for header in headers if header.name == names.API_KEY)


def _program_of(values: dict[str, str], now: float) -> ProgramContext | None:
    program_id = values.get(names.PROGRAM_ID)
    if not program_id:
        return None
    return ProgramContext(
        program_id=program_id,
        deadline_at=_parse_deadline(values, names.PROGRAM_DEADLINE_MS, now),
        budget_tokens=_token_budget(values),
        session_id=values.get(names.SESSION_ID, ""),
    )


def _token_budget(values: dict[str, str]) -> int | None:
    text = values.get(names.TOKEN_BUDGET)
    if text is None:
        return None
    return _parse_number(text, names.TOKEN_BUDGET, MAX_COMPARED_NUMBER)


def _max_tokens(values: dict[str, str]) -> int:
    usage = values.get(names.TOKEN_USAGE)
    if usage is None:
        return 0
    # The header contains the number of prompt tokens and the maximum number of generated tokens.
    _, _, max_tokens = usage.partition(",")
    return _parse_number(max_tokens, names.TOKEN_USAGE)


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for entry in filter(None, (item.strip() for item in text.split(","))):
        part_id, _, tokens = entry.rpartition(":")
        parts.append(PromptPart(part_id, _parse_number(tokens, names.PROMPT_PREFIX)))
    if sum(part.tokens for part in parts) > MAX_WHOLE_NUMBER:
        raise _malformed_header(
            names.PROMPT_PREFIX, f"expected {MAX_WHOLE_NUMBER} tokens at most in all parts"
        )
    return tuple(parts)


def _parse_deadline(values: dict[str, str], name: str, now: float) -> float | None:
    """Return the local time of the deadline in a header, which is in milliseconds from now."""
    text = values.get(name)
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise _malformed_header(name, EXPECTED_TIME) from None
    if not math.isfinite(milliseconds):
        raise _malformed_header(name, EXPECTED_TIME)
    return now + milliseconds / MILLISECONDS_PER_SECOND


def _parse_number(text: str, name: str, most: int = MAX_WHOLE_NUMBER) -> int:
    try:
        return parse_count(text, most)
    except PasslaneError as error:
        raise _malformed_header(name, error.message) from None


def _malformed_header(name: str, expected: str) -> PasslaneError:
    return PasslaneError(ErrorCode.BAD_REQUEST, f"{name} is malformed: {expected}")
