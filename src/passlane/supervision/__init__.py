"""Supervision tree with restart rules for long-running tasks."""
