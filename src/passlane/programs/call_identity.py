"""Names of calls: which repeat of a request is the same call, and what it asks for."""

import msgspec
import xxhash

from passlane.identifiers import CallId
from passlane.messages.node import CallRequest


def call_id_of(request: CallRequest) -> CallId:
    """Return the call's id: from the caller's key, else its sequence, else the request.

    A request that a node sends again keeps its request id and so names the same call.
    """
    if request.idempotency_key is not None:
        name = f"k{xxhash.xxh3_128_hexdigest(request.idempotency_key.encode())}"
    elif request.sequence is not None:
        name = f"s{request.sequence}"
    else:
        name = f"r{request.request_id}"
    return CallId(f"{request.program_id}/{name}")


def request_digest(request: CallRequest) -> str:
    """Return a digest of what the call asks for; a repeat must have the same."""
    asked = (request.kind, request.target, request.turns, request.arguments, request.max_tokens)
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(asked))
