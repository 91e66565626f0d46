"""Named scenarios: a fleet, what is done to it, and which promise that endangers."""
