"""Pure state machines and rules for the calls of a program, run by the node that leads it."""
