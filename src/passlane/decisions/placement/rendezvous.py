"""Rendezvous hashing: all nodes compute the same order of back ends for a key."""

import xxhash

from passlane.messages.listing import BackendRecord


def rendezvous_digest(key: str, record: BackendRecord) -> int:
    """Return the 64-bit score of a back end for a key; the maximum is preferred."""
    return xxhash.xxh3_64_intdigest(f"{key}/{record.instance_id}".encode())
