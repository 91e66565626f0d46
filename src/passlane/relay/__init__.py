"""Relays requests to back ends: finds their route, counts them, sends them, passes answers on.

Owns requests under way. What is decided about them stands in ``passlane.decisions``; why each
ended, and the rule behind it, in ``relay.end_reasons``.
"""
