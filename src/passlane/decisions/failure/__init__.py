"""Interpretation of answers and failures, retry decisions, timeouts and retry-after times."""
