"""Rendezvous hashing: every node orders the back ends for a key in the same way."""

import xxhash

from passlane.messages.listing import BackendRecord


def rendezvous_digest(key: str, record: BackendRecord) -> int:
    """Return the 64-bit score of a back end for a key; the highest one is preferred."""
    return xxhash.xxh3_64_intdigest(f"{key}/{record.instance_id}".encode())
