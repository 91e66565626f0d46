"""Configuration of one Raft replica."""

import msgspec

from passlane.identifiers import ReplicaId
from passlane.messages.common import Address

_DEFAULT_BATCH_BYTES = 1_000_000
_DEFAULT_CHUNK_BYTES = 256_000
_DEFAULT_IN_FLIGHT_BATCHES = 16
_DEFAULT_TRAILING_ENTRIES = 1_000
_DEFAULT_TRAILING_BYTES = 16_000_000
_DEFAULT_REPLACED_VOTER_SILENCE_S = 2.0


class ReplicaConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, timing and limits of one replica.

    Attributes
    ----------
    group
        Name of the Raft group; messages of other groups are ignored.
    replica_id
        Identity of this replica. It is stored on the same disk as the log and the vote, so
        a wiped disk gets a new identity; messages for another identity are ignored.
    address
        Address at which other replicas reach this one.
    heartbeat_s
        Seconds between the leader's heartbeats.
    election_timeout_s
        Minimum election timeout in seconds; each timeout is drawn between this and twice
        this value. A leader without contact to a majority for this long steps down.
    first_election_share
        Share of the election timeout that applies until a replica has heard from a leader
        since its start; the share doubles after each lost election, up to 1.
    max_batch_bytes
        Maximum bytes of entries in one ``AppendRequest``; a single entry may be larger.
    max_in_flight_batches
        Maximum number of unacknowledged ``AppendRequest`` with entries per follower.
    snapshot_chunk_bytes
        Maximum bytes of a snapshot in one ``SnapshotRequest``.
    places
        Target number of voters; ``None`` makes every caught-up member a voter.
    replaced_voter_silence_s
        Seconds of silence after which the leader removes a voter that was already silent
        when another replica became a voter. With bounded ``places`` the leader replaces
        a voter that is silent for this long.
    trailing_entries, trailing_bytes
        Entries retained in memory before the snapshot's last index, and their maximum bytes,
        so that a follower that is slightly behind needs no snapshot.
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
    trailing_bytes: int = _DEFAULT_TRAILING_BYTES
