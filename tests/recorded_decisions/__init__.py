"""Recorded runs of the state machines that decide.

The digests are a net for the reshaping of these machines, during which equal inputs must give
equal instructions. They go when that is over.
"""
