"""The node: forwards calls to the leader of their program and runs the calls that it leads."""
