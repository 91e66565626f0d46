"""Structured logging, metrics, health endpoints and request log analysis."""
