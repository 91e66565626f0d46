"""Starlark policies: validation, bounded evaluation and fallback to defaults."""
