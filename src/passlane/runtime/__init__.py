"""Interfaces to network, HTTP and disk, and their implementations on the operating system."""
