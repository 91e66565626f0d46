"""Starlark policies: checking, bounded evaluation and fallback."""
