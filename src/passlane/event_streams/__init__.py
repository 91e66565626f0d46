"""Parsing of server-sent event streams."""
