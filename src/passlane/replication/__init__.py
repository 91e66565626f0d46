"""Runs Raft replicas with disk and network I/O."""
