"""Samples where a process spends its processor time, at a cost of about a hundredth of it."""

import signal
from collections import Counter
from types import FrameType

SAMPLE_PERIOD_S = 0.002
"""Processor time between two samples."""
EVENT_LOOP = "event loop"
"""Place of samples without any frame of the package: the loop, its selector, task switches."""

_PACKAGE = "passlane."
_EXPERIMENTS = "passlane.bench."


class ProcessorSamples:
    """Counts samples by the innermost function of the package that was running."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def start(self) -> None:
        """Take samples until the process ends; to be called on the main thread."""
        signal.signal(signal.SIGPROF, self._take)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_PERIOD_S, SAMPLE_PERIOD_S)

    @property
    def counts(self) -> dict[str, int]:
        """Samples by ``module:function`` without the package's name."""
        return dict(self._counts)

    def _take(self, _signal_number: int, frame: FrameType | None) -> None:
        while frame is not None:
            module = frame.f_globals.get("__name__", "")
            if module.startswith(_PACKAGE) and not module.startswith(_EXPERIMENTS):
                place = f"{module.removeprefix(_PACKAGE)}:{frame.f_code.co_name}"
                self._counts[place] += 1
                return
            frame = frame.f_back
        self._counts[EVENT_LOOP] += 1
