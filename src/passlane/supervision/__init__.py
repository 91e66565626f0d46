"""Supervisor tree: restart rules for long-lived tasks."""
