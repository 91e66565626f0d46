"""Tests that fail when a form changes that others read: wire, disk, settings, logs, commands."""
