"""Relays requests to backends; ``end_reasons`` lists why a request ended and what decided it.

Unreadable requests and internal errors are answered by ``platform.client_ingress``.
"""
