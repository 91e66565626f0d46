"""Typed settings of the daemon, checked at start."""
