"""Exponential backoff with jitter between the attempts of a request."""

import random as random_module

import anyio


class Backoff:
    """Pauses that double up to a maximum, with jitter so that clients do not synchronize.

    Parameters
    ----------
    random
        Source of the jitter: each pause is between half the current length and all of it.
    initial_s, max_s
        Initial and maximum length in seconds.
    """

    def __init__(self, random: random_module.Random, initial_s: float, max_s: float) -> None:
        self._random = random
        self._next_s = initial_s
        self._max_s = max_s

    async def pause(self) -> None:
        """Wait before the next attempt."""
        await anyio.sleep(self._random.uniform(self._next_s / 2, self._next_s))
        self._next_s = min(2 * self._next_s, self._max_s)
