"""Durable log and snapshots on the data folder."""
