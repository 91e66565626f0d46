"""Per-back-end state: health, load, speed, slots and caches."""
