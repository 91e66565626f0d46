"""Configuration of one Raft replica."""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address

_DEFAULT_BATCH_BYTES = 1_000_000
_DEFAULT_CHUNK_BYTES = 256_000
_DEFAULT_IN_FLIGHT_BATCHES = 16
_DEFAULT_TRAILING_ENTRIES = 1_000
_DEFAULT_REPLACED_VOTER_SILENCE_S = 2.0


class ReplicaConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Who the replica is, and its timing and limits.

    Attributes
    ----------
    group
        Name of the Raft group; messages of other groups are ignored.
    replica_id
        Identity of this replica. It lives on the same disk as the log and the vote, so a
        wiped disk brings a new identity; messages for another identity are ignored.
    address
        Where other replicas reach this one.
    heartbeat_s
        Seconds between the leader's heartbeats.
    election_timeout_s
        Shortest time without a leader before an election; the longest is twice that. A
        leader that hears no majority for this long steps down.
    first_election_share
        A replica that has heard no leader since its start waits for this share of the
        time-out; the share doubles with each election that it loses.
    max_batch_bytes
        Most bytes of entries in one ``AppendRequest`` (one entry may be larger).
    max_in_flight_batches
        Most unacknowledged ``AppendRequest`` with entries per follower.
    snapshot_chunk_bytes
        Most bytes of a snapshot in one ``SnapshotRequest``.
    places
        How many voters the group is to have; ``None`` lets each member vote.
    replaced_voter_silence_s
        A voter that was silent for so long, and already when another became a voter, is
        removed by the leader. With bounded ``places`` a successor is looked for then.
    trailing_entries
        Entries kept in memory behind a snapshot, so that a follower that is a little
        behind needs no snapshot.
    """

    group: str
    replica_id: ReplicaId
    address: Address
    heartbeat_s: float = 0.05
    election_timeout_s: float = 0.3
    first_election_share: float = 1.0
    places: int | None = None
    max_batch_bytes: int = _DEFAULT_BATCH_BYTES
    max_in_flight_batches: int = _DEFAULT_IN_FLIGHT_BATCHES
    snapshot_chunk_bytes: int = _DEFAULT_CHUNK_BYTES
    replaced_voter_silence_s: float = _DEFAULT_REPLACED_VOTER_SILENCE_S
    trailing_entries: int = _DEFAULT_TRAILING_ENTRIES
