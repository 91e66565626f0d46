"""Durable storage of a replica: its log, snapshots and identity.

All files are in the data folder and consist of checksummed records.
"""
