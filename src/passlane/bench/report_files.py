"""Writes an experiment's result as its JSON report."""

from pathlib import Path
from typing import Any

import msgspec

INDENT = 1
"""Spaces for each level of a report."""


def write_report(folder: Path | None, file_name: str, result: Any) -> None:
    """Write a result as indented JSON to ``folder / file_name``; without a folder do nothing.

    Parameters
    ----------
    folder
        An existing folder, or ``None`` when no report is wanted.
    file_name
        Name of the file, with its ending; a file of that name is replaced.
    result
        Anything that ``msgspec`` can encode as JSON.

    Raises
    ------
    OSError
        When the file can't be written.
    """
    if folder is None:
        return
    encoded = msgspec.json.format(msgspec.json.encode(result), indent=INDENT)
    (folder / file_name).write_bytes(encoded)
