"""Interfaces to the outside world (network, disk, HTTP) and their real versions."""
