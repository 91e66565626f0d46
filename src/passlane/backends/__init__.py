"""Clients of engines, applications, the platform list and the weights store."""
