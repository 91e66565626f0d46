"""Processes that know only seeds: discovery, forming of groups, the configuration in force."""
