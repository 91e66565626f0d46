"""Admission of new programs and requests, and load shedding."""
