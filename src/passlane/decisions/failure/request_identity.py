"""Identifies one request over all its attempts, each of which has an id of its own.

Attempts are the same request if the same caller sends the same content. The caller is a line of
turns of a program of a tenant; outside programs, the host that the connection comes from. Deadlines
and the position in a resumed stream differ between attempts and are not part of the identity.
"""

from hashlib import blake2b

import msgspec

from passlane.decisions.inputs.relayed_call import RelayedCall

KEY_BYTES = 12
"""Size of a key; collisions of 96 bits among the requests of one minute are negligible."""

_encoder = msgspec.msgpack.Encoder()


class _Identity(msgspec.Struct, frozen=True, array_like=True):
    """Everything that attempts at one request have in common."""

    tenant: str
    program_id: str
    session_id: str
    caller_host: str
    method: str
    host: str
    target: str
    headers: tuple[str, ...]
    previous_turn: str | None
    body: bytes


def request_key(call: RelayedCall, tenant: str) -> str:
    """Return a key that all attempts at one request share, in hexadecimal.

    Parameters
    ----------
    tenant
        Name of the caller's tenant; empty without one.
    """
    program = call.program
    identity = _Identity(
        tenant=tenant,
        program_id=program.program_id if program is not None else "",
        session_id=program.session_id if program is not None else "",
        caller_host=call.caller_host if program is None else "",
        method=call.method,
        host=call.host,
        target=call.target,
        headers=call.content_headers,
        previous_turn=call.previous_turn,
        body=call.body,
    )
    return blake2b(_encoder.encode(identity), digest_size=KEY_BYTES).hexdigest()
