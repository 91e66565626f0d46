"""Discovery from seed addresses, formation of the store group, and configuration updates."""
