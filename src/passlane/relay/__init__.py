"""Requests relayed to back ends: placement, verdicts, retries and streams."""
