"""Reads an example's settings for simulated processes, each on a host of its own.

The example's files put several processes on one loopback host; a simulated machine that
fails must not take the others with it.
"""

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from passlane.configuration.files import DocumentDraft, load_document_files
from passlane.emulator.settings import EmulatorSettings, parse_emulator_settings
from passlane.settings.loader import parse_settings
from passlane.settings.model import Settings

CONFIGURATION_FILE = "configuration.toml"
OUTSIDE_ZONE = "outside"
LOOPBACK_ADDRESS = re.compile(r"\b(127\.\d{1,3}\.\d{1,3}\.\d{1,3}):(\d{1,5})\b")
"""An address in an example's files: its host and its port."""


@dataclass(frozen=True)
class SimulatedExample:
    """An example as the simulation runs it; ``zone_of_host`` has all its hosts."""

    daemons: tuple[Settings, ...]
    engines: tuple[EmulatorSettings, ...]
    applications: tuple[EmulatorSettings, ...]
    platforms: tuple[EmulatorSettings, ...]
    documents: tuple[DocumentDraft, ...]
    zone_of_host: dict[str, str]


def read_simulated_example(example: Path, folder: Path) -> SimulatedExample:
    """Return the example in a folder; ``folder`` takes a copy with the new addresses."""
    sources = sorted(example.glob("*.toml"))
    tables = {source: tomllib.loads(source.read_text()) for source in sources}
    hosts = _hosts_by_address(tables)

    def replace(match: re.Match[str]) -> str:
        return hosts.get(match.group(0), match.group(0))

    texts = {source.name: LOOPBACK_ADDRESS.sub(replace, source.read_text()) for source in sources}
    configuration = folder / CONFIGURATION_FILE
    configuration.write_text(texts.pop(CONFIGURATION_FILE))
    documents = tuple(load_document_files(configuration))
    return _assemble(example, texts, documents)


def _hosts_by_address(tables: dict[Path, dict[str, Any]]) -> dict[str, str]:
    """Return the new address of each old one: one host for each settings file."""
    replaced: dict[str, str] = {}
    for number, table in enumerate(tables.values(), start=1):
        if "process" in table:
            own = list(table["addresses"].values())
        else:
            own = [table["listen"]] if "listen" in table else []
        for address in own:
            port = address.rpartition(":")[2]
            replaced[address] = f"10.1.0.{number}:{port}"
    return replaced


def _assemble(
    example: Path, texts: dict[str, str], documents: tuple[DocumentDraft, ...]
) -> SimulatedExample:
    """Sort the settings by kind."""
    daemons: list[Settings] = []
    back_ends: dict[str, list[EmulatorSettings]] = {
        "engine": [],
        "application": [],
        "platform": [],
    }
    zones: dict[str, str] = {}
    document_zones = _zones_of_documents(documents)
    for name, text in texts.items():
        table = tomllib.loads(text)
        if "process" in table:
            table.pop("delays", None)  # The simulated network has delays of its own.
            settings = parse_settings(example / name, table)
            daemons.append(settings)
            zones[settings.addresses.internal.host] = settings.process.zone
            continue
        kind = next(kind for kind in back_ends if kind in table)
        back_end = msgspec.structs.replace(
            parse_emulator_settings(example / name, table), one_way_delay_s=0.0
        )
        back_ends[kind].append(back_end)
        zones[back_end.listen.host] = document_zones.get(back_end.name, OUTSIDE_ZONE)
    return SimulatedExample(
        daemons=tuple(daemons),
        engines=tuple(back_ends["engine"]),
        applications=tuple(back_ends["application"]),
        platforms=tuple(back_ends["platform"]),
        documents=documents,
        zone_of_host=zones,
    )


def _zones_of_documents(documents: tuple[DocumentDraft, ...]) -> dict[str, str]:
    """Return the zones of engines and applications by their names."""
    bodies = {document.name: msgspec.json.decode(document.body) for document in documents}
    return {name: body["zone"] for name, body in bodies.items() if "zone" in body}
