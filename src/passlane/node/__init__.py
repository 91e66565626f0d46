"""The shell of a node: routes calls to the leader of their program and runs them."""
