"""What a fleet's configuration says about its tools."""

import tomllib

from passlane.bench.fleet import Fleet
from passlane.bench.fleet_files import CONFIGURATION_FILE


def repeatable_tools(fleet: Fleet) -> frozenset[str]:
    """Return the names of the tools that may run more than once."""
    fields = tomllib.loads((fleet.folder / CONFIGURATION_FILE).read_text())
    return frozenset(
        tool["name"]
        for document in fields["document"]
        for tool in document.get("tools", ())
        if document["kind"] == "application" and tool.get("repeatable", False)
    )
