"""What a harmful request does to the engines that run it."""

from dataclasses import dataclass

HARMFUL = b"<harmful>"


@dataclass(frozen=True)
class Harm:
    """What an engine suffers when it begins to run the harmful body.

    Attributes
    ----------
    breaks_off
        Whether it breaks the answer off at once.
    answer_status
        Status of the whole answer that it gives at once; ``None`` to answer as usual.
    end_after_s
        Time after which it ends.
    restart_s
        Time from its end until another one starts at its address; the list names it until then.
    turns_silent
        Whether its host answers nothing from its end until the other one starts.
    keeps_id
        Whether the other one has the same id; the list then tells the start of each engine.
    """

    breaks_off: bool = False
    answer_status: int | None = None
    end_after_s: float = 0.0
    restart_s: float = 0.3
    turns_silent: bool = False
    keeps_id: bool = False

    def is_in(self, body):
        """Return whether a body that an engine runs is the harmful one."""
        return body.endswith(HARMFUL)
