"""HTTP applications (ASGI) for callers and operators."""
