"""Selects the engines that cache a large prompt prefix shared by many programs.

An engine that does not have a prefix in its cache has to compute it, which delays all of its
running turns. New programs with a large shared prefix, such as instructions, are therefore placed
on half of the engines while one of these has no queue. All nodes select the same engines by
rendezvous hashing (``rendezvous``). The module owns no state.
"""

import math
from collections.abc import Collection, Sequence

from passlane.decisions.inputs.relayed_call import PromptPart
from passlane.decisions.placement.rendezvous import rendezvous_digest
from passlane.messages.listing import BackendRecord

ENGINE_SHARE = 0.5
"""Share of the engines that cache a prefix, large enough to balance its programs by load. If all
engines cache each prefix, they compute about 1.6 times as many tokens of prefixes again."""
MIN_ENGINES = 2
"""Minimum number of engines that cache a prefix, so that one may fail."""
MIN_LARGE_PART_TOKENS = 4_000
"""Minimum number of tokens of a large prefix. Computing a smaller one takes little more time than
a round trip to another zone: engines compute 60 to 160 tokens in a millisecond."""


def large_shared_part(parts: Sequence[PromptPart]) -> str:
    """Return the id of the large prefix that a prompt shares with others; empty without one.

    The last part of a prompt is never shared.
    """
    is_shared = len(parts) > 1 and parts[0].tokens >= MIN_LARGE_PART_TOKENS
    return parts[0].part_id if is_shared else ""


def engines_of_part(part_id: str, records: Collection[BackendRecord]) -> frozenset[str]:
    """Return the incarnations of the engines that cache a prefix, by rendezvous hashing."""
    count = max(MIN_ENGINES, math.ceil(ENGINE_SHARE * len(records)))
    by_score = sorted(records, key=lambda record: rendezvous_digest(part_id, record), reverse=True)
    return frozenset(record.incarnation for record in by_score[:count])
