"""Limits of tenants over all nodes together: what is granted, and what a node holds of it."""
