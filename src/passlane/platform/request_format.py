"""Turns a client's request on the platform into the product's typed call."""

import math
from collections.abc import Sequence

from passlane.decisions.inputs.relayed_call import Header, ProgramContext, PromptPart, RelayedCall
from passlane.errors import ErrorCode, PasslaneError
from passlane.platform import names
from passlane.routes.tenants import digest_of_key

MILLISECONDS = 1_000.0
NO_DEADLINE = float("inf")
_NEVER_PASSED_ON = names.CONNECTION_HEADERS | names.OWNED_HEADERS | names.UNTOLD_HEADERS


def parse_call(
    method: str,
    target: str,
    headers: Sequence[Header],
    body: bytes,
    now: float,
) -> RelayedCall:
    """Return the call that a request stands for.

    Parameters
    ----------
    headers
        In the order in which they came, names in lower case.

    Raises
    ------
    PasslaneError
        ``BAD_REQUEST`` when a header is missing or malformed.
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
        headers=_passed_on(headers, values.get("connection", "")),
        dropped_headers=_owned_among(headers),
        key_digests=_key_digests(headers),
        body=body,
        arrived_at=now,
        deadline_at=_later(values, names.DEADLINE_MS, now) or NO_DEADLINE,
        program=_program_of(values, now),
        most_tokens=_most_tokens(values),
        prompt_parts=_prompt_parts(values.get(names.PROMPT_PREFIX, "")),
        previous_turn=values.get(names.PREVIOUS_TURN) or None,
        last_event_id=values.get(names.LAST_EVENT_ID) or None,
    )


def _passed_on(headers: Sequence[Header], connection: str) -> tuple[Header, ...]:
    named = {name.strip().lower() for name in connection.split(",")}
    dropped = _NEVER_PASSED_ON | named
    return tuple(header for header in headers if header.name not in dropped)


def _owned_among(headers: Sequence[Header]) -> tuple[str, ...]:
    """Return the names of headers that a client must not set, each once."""
    found = [header.name for header in headers if header.name in names.OWNED_HEADERS]
    return tuple(dict.fromkeys(found))


def _key_digests(headers: Sequence[Header]) -> tuple[bytes, ...]:
    """Return the digests of all keys that a request carries; the keys themselves go no further."""
    return tuple(digest_of_key(header.value) for header in headers if header.name == names.API_KEY)


def _program_of(values: dict[str, str], now: float) -> ProgramContext | None:
    program_id = values.get(names.PROGRAM_ID)
    if not program_id:
        return None
    return ProgramContext(
        program_id=program_id,
        deadline_at=_later(values, names.PROGRAM_DEADLINE_MS, now),
        budget_tokens=_whole_number(values, names.TOKEN_BUDGET),
    )


def _most_tokens(values: dict[str, str]) -> int:
    usage = values.get(names.TOKEN_USAGE)
    if usage is None:
        return 0
    _, _, most = usage.partition(",")
    return _number_in(most, names.TOKEN_USAGE)


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, (item.strip() for item in text.split(","))):
        part_id, _, tokens = entry.rpartition(":")
        parts.append(PromptPart(part_id, _number_in(tokens, names.PROMPT_PREFIX)))
    return tuple(parts)


def _later(values: dict[str, str], name: str, now: float) -> float | None:
    """Return the local time that lies a header's milliseconds ahead."""
    text = values.get(name)
    if text is None:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        raise _malformed(name) from None
    if not math.isfinite(milliseconds):
        raise _malformed(name)
    return now + milliseconds / MILLISECONDS


def _whole_number(values: dict[str, str], name: str) -> int | None:
    text = values.get(name)
    return _number_in(text, name) if text is not None else None


def _number_in(text: str, name: str) -> int:
    if not text.strip().isdecimal():
        raise _malformed(name)
    return int(text)


def _malformed(name: str) -> PasslaneError:
    return PasslaneError(ErrorCode.BAD_REQUEST, f"{name} is malformed")
