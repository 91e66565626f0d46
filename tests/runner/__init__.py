"""Runs test modules side by side, each in a process of its own."""
