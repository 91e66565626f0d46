"""Leases, heartbeats and the assignment of partitions to nodes."""
