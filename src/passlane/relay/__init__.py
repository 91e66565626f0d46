"""Relays requests to back ends; why each ended, and by which rule, is in ``end_reasons``.

Requests that can't be read, and faults, are answered by ``platform.client_ingress``.
"""
