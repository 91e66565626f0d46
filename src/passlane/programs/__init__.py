"""Pure state machines for the calls of a program, as seen by the leading node."""
