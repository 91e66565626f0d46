"""Identity of calls: the id under which repeated requests match, and a digest of the request."""

import msgspec
import xxhash

from passlane.identifiers import CallId
from passlane.messages.node import CallRequest


def call_id_of(request: CallRequest) -> CallId:
    """Return the call's id, derived from the idempotency key, the sequence or the request id.

    The first of the three that is set is used. A request that a node resends keeps its
    request id and therefore its call id.
    """
    if request.idempotency_key is not None:
        name = f"k{xxhash.xxh3_128_hexdigest(request.idempotency_key.encode())}"
    elif request.sequence is not None:
        name = f"s{request.sequence}"
    else:
        name = f"r{request.request_id}"
    return CallId(f"{request.program_id}/{name}")


def request_digest(request: CallRequest) -> str:
    """Return a digest of the request's content, which a repeat of the call must match."""
    content = (request.kind, request.target, request.turns, request.arguments, request.max_tokens)
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(content))
