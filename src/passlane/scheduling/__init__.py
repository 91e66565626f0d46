"""Pure decision logic: ordering, placement, limits, retries."""
