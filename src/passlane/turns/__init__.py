"""Turns of programs in the store group: budgets, reservations and histories."""
