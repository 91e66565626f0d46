"""Deliberate faults of a Raft group, each in the place of one rule of the product.

They prove that the simulation would notice if the rule were missing. Each is caught
within a stated number of seeds, counted from 0.
"""

from dataclasses import dataclass, replace

from passlane.raft.election import Elections
from passlane.raft.follower import Follower
from passlane.raft.leader import Leader
from passlane.raft.reads import ReadRounds
from passlane.raft.replica import Replica
from passlane.raft.replication import Replicator
from passlane.raft.voter_selection import VoterSelection
from passlane.simulation.raft_cluster import ClusterOptions
from passlane.simulation.raft_conditions import CONDITIONS, CONGESTED_NETWORK
from passlane.simulation.raft_fault_sequences import (
    crash_after_vote,
    freeze_isolated_leader,
    grow_minority,
    lose_leader_with_one_follower,
    lose_majority,
)
from passlane.simulation.raft_faults import (
    BOUNDED_GROUP_FAULTS,
    RANDOM_FAULTS,
    Fault,
    crash_all,
    crash_leader,
    crash_within_sync,
    isolate_leader,
    isolate_one,
    lose_messages,
    release,
    shrink,
    slow_disk,
    split,
    wipe_one,
)
from passlane.simulation.raft_faulty_parts import (
    ElectionsThatVoteForAnyLog,
    ElectionsThatVoteTwice,
    FollowerThatAcknowledgesBeforeSync,
    FollowerThatIgnoresMismatch,
    FollowerThatKeepsConflicts,
    HostThatVotesBeforeSync,
    LeaderThatChangesMembersAtOnce,
    LeaderThatDeniesItsEntries,
    LeaderThatPromotesEarly,
    LeaderThatReadsBeforeItsFirstCommit,
    PlacesFilledEarly,
    PlacesFilledTwice,
    ReadsWithoutConfirmation,
    ReplicatorThatCommitsOldTerms,
    ReplicatorThatCountsItsUnsyncedEntries,
    ReplicatorThatCountsRemovedVoters,
    ReplicatorThatSkipsCheckQuorum,
)
from passlane.simulation.raft_host import ReplicaFactory


@dataclass(frozen=True)
class RaftDefect:
    """A deliberate fault.

    Attributes
    ----------
    breaks
        Names of the promises that it may break; see ``raft_invariants``.
    within_seeds
        One of these promises is broken in one of the first so many seeds.
    options
        A cluster with the fault in it.
    faults
        What goes wrong besides; most show by random faults, some need a sequence.
    """

    name: str
    description: str
    breaks: tuple[str, ...]
    within_seeds: int
    options: ClusterOptions
    faults: tuple[Fault, ...] = RANDOM_FAULTS


def replica_with(
    *,
    elections_class: type[Elections] = Elections,
    follower_class: type[Follower] = Follower,
    leader_class: type[Leader] = Leader,
) -> ReplicaFactory:
    """Return a class of replicas made of the given parts."""

    class ReplicaWithDefect(Replica):
        """A replica with a deliberate fault in one of its parts."""

    ReplicaWithDefect.elections_class = elections_class
    ReplicaWithDefect.follower_class = follower_class
    ReplicaWithDefect.leader_class = leader_class
    return ReplicaWithDefect


def leader_with(
    *,
    replicator_class: type[Replicator] = Replicator,
    reads_class: type[ReadRounds] = ReadRounds,
    voter_selection_class: type[VoterSelection] = VoterSelection,
) -> ReplicaFactory:
    """Return a class of replicas whose leadership is made of the given parts."""

    class LeaderWithDefect(Leader):
        """A leadership with a deliberate fault in one of its parts."""

    LeaderWithDefect.replicator_class = replicator_class
    LeaderWithDefect.reads_class = reads_class
    LeaderWithDefect.voter_selection_class = voter_selection_class
    return replica_with(leader_class=LeaderWithDefect)


def bounded_group(replica_factory: ReplicaFactory) -> ClusterOptions:
    """Return a cluster of nine hosts of which five vote."""
    return replace(CONDITIONS["bounded"], replica_factory=replica_factory)


ONE_LEADER = "one leader a term"
LOGS_MATCH = "logs match"
COMMITTED_STAYS = "committed entries stay"
STATES_AGREE = "states agree"
READS_LINEARIZABLE = "reads are linearizable"
STEPS_DOWN = "a leader in silence steps down"
VOTERS_CAUGHT_UP = "voters have caught up"
VOTERS_BOUNDED = "the number of voters is bounded"
NOT_RUN = "not run means not run"
OWN_CHECKS = "the replica's own checks"

RECOVERS = "the group recovers"

_LOST_ENTRIES = (COMMITTED_STAYS, STATES_AGREE, OWN_CHECKS, READS_LINEARIZABLE, RECOVERS)

DEFECTS: dict[str, RaftDefect] = {
    defect.name: defect
    for defect in (
        RaftDefect(
            "vote-before-sync",
            "a vote is sent before it is durable",
            (ONE_LEADER, LOGS_MATCH, *_LOST_ENTRIES),
            10,
            ClusterOptions(host_factory=HostThatVotesBeforeSync),
            (crash_after_vote,),
        ),
        RaftDefect(
            "acknowledge-before-sync",
            "entries are acknowledged before they are durable",
            _LOST_ENTRIES,
            10,
            ClusterOptions(
                replica_factory=replica_with(follower_class=FollowerThatAcknowledgesBeforeSync)
            ),
            (lose_leader_with_one_follower, crash_within_sync, crash_all),
        ),
        RaftDefect(
            "wiped-disk-votes",
            "a replica that lost its disk votes under its old identity",
            (ONE_LEADER, LOGS_MATCH, *_LOST_ENTRIES),
            5,
            ClusterOptions(keeps_identity_after_wipe=True),
            (wipe_one, crash_leader, isolate_one),
        ),
        RaftDefect(
            "ignore-mismatch",
            "entries are taken although the one before them differs",
            (LOGS_MATCH, *_LOST_ENTRIES),
            5,
            ClusterOptions(
                replica_factory=replica_with(follower_class=FollowerThatIgnoresMismatch),
                mean_fault_pause_s=0.2,
            ),
        ),
        RaftDefect(
            "keep-conflicts",
            "an entry that differs from the leader's is kept",
            (LOGS_MATCH, *_LOST_ENTRIES),
            5,
            ClusterOptions(
                replica_factory=replica_with(follower_class=FollowerThatKeepsConflicts),
                mean_fault_pause_s=0.2,
            ),
        ),
        RaftDefect(
            "vote-twice",
            "two candidates get a vote in one term",
            (ONE_LEADER, LOGS_MATCH, *_LOST_ENTRIES),
            5,
            ClusterOptions(
                replica_factory=replica_with(elections_class=ElectionsThatVoteTwice),
                network=CONGESTED_NETWORK,
                election_timeout_s=0.15,
            ),
        ),
        RaftDefect(
            "vote-for-any-log",
            "a candidate without all committed entries gets a vote",
            _LOST_ENTRIES,
            10,
            ClusterOptions(
                replica_factory=replica_with(elections_class=ElectionsThatVoteForAnyLog)
            ),
        ),
        RaftDefect(
            "commit-old-terms",
            "an entry of an older term is committed by counting its copies",
            _LOST_ENTRIES,
            5,
            ClusterOptions(
                replica_factory=leader_with(replicator_class=ReplicatorThatCommitsOldTerms),
                max_batch_bytes=1,
                mean_fault_pause_s=2.0,
            ),
            (lose_majority,),
        ),
        RaftDefect(
            "count-own-unsynced",
            "the leader counts its own entries before they are durable",
            _LOST_ENTRIES,
            5,
            ClusterOptions(
                replica_factory=leader_with(replicator_class=ReplicatorThatCountsItsUnsyncedEntries)
            ),
            (lose_leader_with_one_follower,),
        ),
        RaftDefect(
            "skip-check-quorum",
            "a leader that hears no majority goes on leading",
            (STEPS_DOWN,),
            1,
            ClusterOptions(
                replica_factory=leader_with(replicator_class=ReplicatorThatSkipsCheckQuorum)
            ),
            (isolate_leader,),
        ),
        RaftDefect(
            "read-without-confirmation",
            "a leader answers reads without asking whether it still leads",
            (READS_LINEARIZABLE,),
            10,
            ClusterOptions(replica_factory=leader_with(reads_class=ReadsWithoutConfirmation)),
            (freeze_isolated_leader,),
        ),
        RaftDefect(
            "read-before-first-commit",
            "a new leader answers reads before it knows all that is committed",
            (READS_LINEARIZABLE,),
            10,
            ClusterOptions(
                replica_factory=replica_with(leader_class=LeaderThatReadsBeforeItsFirstCommit),
                network=CONGESTED_NETWORK,
                election_timeout_s=0.15,
            ),
            (slow_disk, isolate_leader, lose_messages),
        ),
        RaftDefect(
            "promote-early",
            "a learner votes before it has caught up",
            (VOTERS_CAUGHT_UP,),
            1,
            ClusterOptions(replica_factory=replica_with(leader_class=LeaderThatPromotesEarly)),
        ),
        RaftDefect(
            "change-members-at-once",
            "a change of membership begins before the former one is committed",
            (ONE_LEADER, VOTERS_CAUGHT_UP, *_LOST_ENTRIES),
            5,
            ClusterOptions(
                replica_factory=replica_with(leader_class=LeaderThatChangesMembersAtOnce)
            ),
            (grow_minority, shrink),
        ),
        RaftDefect(
            "fill-place-twice",
            "two spares are taken in for one place",
            (VOTERS_BOUNDED,),
            1,
            bounded_group(leader_with(voter_selection_class=PlacesFilledTwice)),
            BOUNDED_GROUP_FAULTS,
        ),
        RaftDefect(
            "fill-place-early",
            "a spare votes before it has caught up",
            (VOTERS_CAUGHT_UP,),
            1,
            bounded_group(leader_with(voter_selection_class=PlacesFilledEarly)),
            BOUNDED_GROUP_FAULTS,
        ),
        RaftDefect(
            "count-removed-voters",
            "copies of voters that were removed count for a commit",
            _LOST_ENTRIES,
            10,
            bounded_group(leader_with(replicator_class=ReplicatorThatCountsRemovedVoters)),
            (release, release, lose_leader_with_one_follower),
        ),
        RaftDefect(
            "deny-entries",
            "a caller is told that its command did not run although it may be committed",
            (NOT_RUN,),
            5,
            ClusterOptions(
                replica_factory=replica_with(leader_class=LeaderThatDeniesItsEntries),
                mean_fault_pause_s=0.2,
            ),
            (isolate_leader, split),
        ),
    )
}
