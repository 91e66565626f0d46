"""What the store group agrees on about programs whose turns any node relays; no I/O."""
