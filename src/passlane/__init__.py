"""A scheduler for agent programs that run on borrowed machines."""
