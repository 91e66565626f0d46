"""Limits of tenants: quotas over all nodes, rates and concurrency at one."""
