"""Schedulers: of turns over all nodes, and of the calls that one node leads."""
