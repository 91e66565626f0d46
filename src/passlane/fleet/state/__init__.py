"""What a fleet's control group agrees on and what its leader remembers; no I/O."""
