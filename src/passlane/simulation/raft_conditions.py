"""Conditions under which the simulated Raft group runs, from ordinary to harsh."""

from passlane.simulation.raft_cluster import ClusterOptions, NetworkConditions

CONGESTED_NETWORK = NetworkConditions(
    shortest_s=0.003,
    longest_s=0.04,
    slow_fraction=0.1,
    slowest_s=0.3,
    duplicate_fraction=0.05,
)
"""Delays as long as an election takes, so that candidates of one term meet."""

LOSSY_NETWORK = NetworkConditions(
    longest_s=0.01,
    slow_fraction=0.1,
    slowest_s=0.15,
    duplicate_fraction=0.02,
    loss_fraction=0.1,
)
"""One message in ten is lost, and as many come late."""

ORDINARY = "ordinary"

CONDITIONS: dict[str, ClusterOptions] = {
    ORDINARY: ClusterOptions(),
    "congested": ClusterOptions(
        network=CONGESTED_NETWORK,
        election_timeout_s=0.15,
        max_batch_bytes=64,
        mean_fault_pause_s=0.25,
    ),
    "lossy": ClusterOptions(
        network=LOSSY_NETWORK,
        election_timeout_s=0.15,
        heartbeat_s=0.04,
        max_batch_bytes=64,
        mean_fault_pause_s=0.15,
    ),
    "calm-between-faults": ClusterOptions(max_batch_bytes=1, mean_fault_pause_s=2.0),
    "large-group": ClusterOptions(hosts=9, first_voters=5, mean_fault_pause_s=0.3),
    "bounded": ClusterOptions(hosts=9, first_voters=5, places=5, mean_fault_pause_s=0.3),
    "bounded-lossy": ClusterOptions(
        hosts=7, first_voters=3, places=3, network=LOSSY_NETWORK, mean_fault_pause_s=0.3
    ),
}
