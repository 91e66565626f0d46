"""Order of waiting turns, calls and requests: priority, fairness and aging."""
