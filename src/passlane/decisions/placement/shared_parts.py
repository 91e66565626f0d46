"""Answers which engines are to hold a part that many prompts begin with.

It is for programs that share a large part, such as instructions. An engine that gets a prompt
for the first time reads its shared part anew, and holds up all that it generates meanwhile. So
such programs go to half of the engines only, the same ones at every node, as long as one of
these has no queue. It owns no state, and relies on rendezvous hashing (``rendezvous``) for every
node to name the same engines.
"""

import math
from collections.abc import Collection, Sequence

from passlane.decisions.inputs.relayed_call import PromptPart
from passlane.decisions.placement.rendezvous import rendezvous_digest
from passlane.messages.listing import BackendRecord

ENGINE_SHARE = 0.5
"""Share of the engines that hold a part: enough of them to spread its programs by load.

Engines read 0.78 and 0.86 million tokens of shared parts again with it, 1.24 and 1.37 million where
all engines held each part (docs/measurements/further-deployment.md); other shares were not
measured."""
FEWEST_ENGINES = 2
"""Engines that hold a part at least, so that one may be lost. Not measured; chosen."""
SMALLEST_LARGE_TOKENS = 4_000
"""Tokens of a part from which on it is large. An engine reads some 60 to 160 tokens in a
millisecond: smaller parts are read anew in little more time than a request takes to another zone
and back. A part of 12,600 tokens takes 77 ms (docs/measurements/further-deployment.md); the bound
itself was not measured, but chosen."""


def large_shared_part(parts: Sequence[PromptPart]) -> str:
    """Return the id of the large part that a prompt shares with others; empty without one.

    The last part of a prompt is its own.
    """
    is_shared = len(parts) > 1 and parts[0].tokens >= SMALLEST_LARGE_TOKENS
    return parts[0].part_id if is_shared else ""


def engines_of_part(part_id: str, records: Collection[BackendRecord]) -> frozenset[str]:
    """Return the instances that are to hold a part, by rendezvous hashing."""
    count = max(FEWEST_ENGINES, math.ceil(ENGINE_SHARE * len(records)))
    by_score = sorted(records, key=lambda record: rendezvous_digest(part_id, record), reverse=True)
    return frozenset(record.incarnation for record in by_score[:count])
