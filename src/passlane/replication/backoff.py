"""Pauses between tries of a request, longer after each."""

import random as random_module

import anyio


class Backoff:
    """Pauses that double up to a bound, with jitter so that clients do not keep step.

    Parameters
    ----------
    random
        Source of the jitter: a pause lasts from half its length to all of it.
    first_s, longest_s
        Length of the first pause and the bound, in seconds.
    """

    def __init__(self, random: random_module.Random, first_s: float, longest_s: float) -> None:
        self._random = random
        self._next_s = first_s
        self._longest_s = longest_s

    async def pause(self) -> None:
        """Wait before the next try."""
        await anyio.sleep(self._random.uniform(self._next_s / 2, self._next_s))
        self._next_s = min(2 * self._next_s, self._longest_s)
