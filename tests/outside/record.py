"""Writes the forms that ``test_outside`` compares with; also names the recorded files.

    .venv/bin/python tests/outside/record.py --write

A form is only written anew when it is meant to change, in the change that changes it: the
difference of the files in ``recorded`` is then what others have to be told. A renamed class,
a moved module or another order of commands is no reason to write them.
"""

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from outside.command_forms import command_forms, deployed_programs
from outside.enum_forms import enum_forms
from outside.http_forms import header_names, paths, routes, tables_by_code
from outside.log_forms import log_event_forms
from outside.metric_forms import metric_forms, node_metric_forms
from outside.struct_forms import (
    received_tags,
    settings_forms,
    tagged_forms,
    untagged_forms_to_record,
)

RECORDED = Path(__file__).resolve().parent / "recorded"
WRITE_FLAG = "--write"

FORMS: dict[str, Callable[[], Any]] = {
    "messages": tagged_forms,
    "received_tags": received_tags,
    "untagged": untagged_forms_to_record,
    "settings": settings_forms,
    "enums": enum_forms,
    "log_events": log_event_forms,
    "metrics": metric_forms,
    "node_metrics": node_metric_forms,
    "routes": routes,
    "paths": paths,
    "header_names": header_names,
    "tables_by_code": tables_by_code,
    "commands": command_forms,
    "deployed_programs": deployed_programs,
}


def recorded_form(name: str) -> Any:
    """Return a form as it was recorded."""
    return json.loads((RECORDED / f"{name}.json").read_text())


def present_form(name: str) -> Any:
    """Return a form as the source has it now, as it would be read from a file."""
    return json.loads(json.dumps(FORMS[name]()))


def write_forms() -> None:
    """Write each form into its file."""
    for name in FORMS:
        text = json.dumps(present_form(name), indent=1, sort_keys=True)
        (RECORDED / f"{name}.json").write_text(text + "\n")


if __name__ == "__main__":
    if sys.argv[1:] != [WRITE_FLAG]:
        sys.exit(f"nothing written; {WRITE_FLAG} writes the forms anew, see the head of this file")
    write_forms()
