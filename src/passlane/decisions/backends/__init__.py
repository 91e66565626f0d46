"""What is known of back ends: health, load, speed, slots, caches."""
