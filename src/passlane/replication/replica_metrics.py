"""Metrics of the replicas in a process."""

from passlane.observability.metrics import Metrics
from passlane.replication.replica_host import ReplicaHost


def expose_replica(metrics: Metrics, group: str, host: ReplicaHost) -> None:
    """Expose the state of ``host`` at ``/metrics``; a later host of the group replaces it."""
    labels = ("group",)
    metrics.gauge("replica_leads", "1 if the replica leads its group", labels).labels(
        group
    ).set_function(lambda: float(host.is_leader))
    metrics.gauge("replica_votes", "1 if the replica votes in its group", labels).labels(
        group
    ).set_function(lambda: float(host.is_voter))
    metrics.gauge(
        "replica_disk_full", "1 while new work is refused for want of space", labels
    ).labels(group).set_function(lambda: float(host.is_disk_full))
    metrics.gauge(
        "replica_applied_index", "Index of the last log entry that the replica applied", labels
    ).labels(group).set_function(lambda: float(host.applied_index))
