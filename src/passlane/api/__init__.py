"""ASGI applications of the HTTP interfaces for callers and operators."""
