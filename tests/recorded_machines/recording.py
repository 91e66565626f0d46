"""Runs of state machines as one digest per step, and where two runs differ first.

The digests are a net for the reshaping of these machines and go when that is over. To write
them anew, set ``RECORD_MACHINES=1`` for a run of the tests.
"""

import base64
import hashlib
import os
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from recorded_machines.values import Kinds, marker_of, values_of

DIGESTS = Path(__file__).resolve().parent / "digests"
DIGEST_BYTES = 3
DIGEST_CHARACTERS = 4
DIGESTS_IN_LINE = 24
SHOWN_CHARACTERS = 4_000


class Recording:
    """The steps of one run, in canonical form.

    Parameters
    ----------
    name
        Names the file of digests.
    kinds
        Markers of classes that are no messages.
    """

    def __init__(self, name: str, kinds: Kinds) -> None:
        self.name = name
        self.reached: set[Any] = set()
        self._kinds = kinds
        self._steps: list[tuple[Any, Any]] = []

    def note(self, event: Any, instructions: Any) -> None:
        """Note an event and what the machine made of it."""
        self._steps.append((self._plain(event), self._plain(instructions)))

    def _plain(self, value: Any) -> Any:
        return values_of(value, self._kinds, self.reached)

    def check(self, test: unittest.TestCase, run: Callable[[], None]) -> None:
        """Run the load and fail at the first step that differs from the recorded ones."""
        try:
            run()
        except Exception as error:
            # An error often follows from a step that differs, which tells more.
            self._compare(test, self._recorded(), f"\nand then: {error!r}")
            raise
        digests = self._digests()
        if os.environ.get("RECORD_MACHINES") == "1":
            self._path.write_text(_in_lines(digests))
        recorded = self._recorded()
        self._compare(test, recorded)
        test.assertEqual(len(digests), len(recorded), f"{self.name}: number of steps")

    @property
    def _path(self) -> Path:
        return DIGESTS / f"{self.name}.txt"

    def _recorded(self) -> list[str]:
        return _from_lines(self._path.read_text()) if self._path.exists() else []

    def _digests(self) -> list[str]:
        return [_digest(step) for step in self._steps]

    def _compare(self, test: unittest.TestCase, recorded: list[str], remark: str = "") -> None:
        pairs = zip(self._digests(), recorded, strict=False)
        for number, (digest, before) in enumerate(pairs):
            if digest != before:
                test.fail(self._difference(number) + remark)

    def _difference(self, number: int) -> str:
        event, instructions = self._steps[number]
        text = f"{self.name}: step {number} differs first\nevent {event}\ngives {instructions}"
        return text[:SHOWN_CHARACTERS]

    def require_reached(self, test: unittest.TestCase, *wanted: Any) -> None:
        """Require that the load reached classes and enum members."""
        marks = {marker_of(w, self._kinds) if isinstance(w, type) else w for w in wanted}
        test.assertEqual(set(), marks - self.reached, f"{self.name}: not reached")


def _digest(step: tuple[Any, Any]) -> str:
    """Return a short digest: steps are compared one by one, so it need not be a long one."""
    encoded = msgspec.msgpack.encode(step)
    digest = hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(digest).decode()


def _in_lines(digests: list[str]) -> str:
    starts = range(0, len(digests), DIGESTS_IN_LINE)
    return "".join("".join(digests[s : s + DIGESTS_IN_LINE]) + "\n" for s in starts)


def _from_lines(text: str) -> list[str]:
    joined = "".join(text.split())
    starts = range(0, len(joined), DIGEST_CHARACTERS)
    return [joined[start : start + DIGEST_CHARACTERS] for start in starts]
