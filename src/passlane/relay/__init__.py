"""Relays requests to back ends; why each ended, and by which rule, is in ``end_reasons``."""
