"""Deterministic answers: the same messages and seed give the same text, token by token.

A stream that broke off can so be resumed at another engine and go on with the same
answer. A token is a short word followed by a space.
"""

from collections.abc import Sequence

import xxhash

from passlane.messages.store import Turn

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4
_TEXT = """
the recharge was sent and the carrier says it has arrived so please ask your customer to
restart his phone if nothing shows we look at the receipt again practise this line slowly
with an even stroke then play both bars together keep your wrist loose next lesson we add
one more phrase
"""
_WORDS = tuple(_TEXT.split())


def count_tokens(messages: Sequence[Turn]) -> int:
    """Return the number of prompt tokens that an emulated engine sees in ``messages``."""
    return sum(
        TOKENS_PER_MESSAGE + -(-len(turn.content.encode()) // BYTES_PER_TOKEN) for turn in messages
    )


class Answer:
    """The answer to a prompt.

    Parameters
    ----------
    model
        Name of the model.
    messages
        The whole prompt.
    seed
        Seed from the request.
    shortest, longest
        Bounds of the answer's length in tokens.
    software_version
        Version of the engine; empty if it tells none.
    """

    def __init__(
        self,
        model: str,
        messages: Sequence[Turn],
        seed: int,
        shortest: int,
        longest: int,
        software_version: str = "",
    ) -> None:
        digest = xxhash.xxh64(seed=seed & 0xFFFF_FFFF)
        digest.update(model.encode())
        digest.update(software_version.encode())
        for turn in messages:
            # Lengths keep neighbouring messages apart, so that no two prompts look the same.
            digest.update(f"{turn.role}:{len(turn.content)}:{turn.content}".encode())
        self._key = digest.intdigest()
        self.natural_tokens = shortest + self._key % (longest - shortest + 1)

    def token(self, position: int) -> str:
        """Return the text of one token; positions count from 0."""
        number = xxhash.xxh64_intdigest(position.to_bytes(8, "little"), seed=self._key)
        return _WORDS[number % len(_WORDS)] + " "

    def text(self, first: int, end: int) -> str:
        """Return the text of the tokens from ``first`` up to, not including, ``end``."""
        return "".join(self.token(position) for position in range(first, end))
