"""Tests that read the files of replicas as an earlier version wrote them.

The files in ``kept`` stand for what is on the disks of running replicas. They are never made
anew: where today's code does not read them, the code is wrong, or a migration is missing.
"""
