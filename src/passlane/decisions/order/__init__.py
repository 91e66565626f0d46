"""Who goes first: the order of turns, of calls, and of requests that wait for a slot."""
