"""Reads document files: TOML with one document, or several as ``[[document]]``.

Each document has ``kind``, ``name`` and the fields of its body. An optional ``version`` is
the version that the change is based on. A policy's source may be in a separate file, whose
path relative to the document file is ``source_file``.
"""

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from passlane.configuration.documents import DocumentKind
from passlane.configuration.parsing import check_name, encode_body, parse_fields, parse_kind
from passlane.errors import ErrorCode, PasslaneError

DOCUMENT_TABLE = "document"
SOURCE_FILE_KEY = "source_file"

# A document is sorted after those that it refers to.
_KIND_ORDER = {
    DocumentKind.ENGINE: 0,
    DocumentKind.APPLICATION: 1,
    DocumentKind.POLICY: 2,
    DocumentKind.SERVICE: 3,
    DocumentKind.TENANT: 4,
    DocumentKind.DRAIN: 5,
}
_KEY_IN_MESSAGE = re.compile(r"at `\$\.?([^`]*)`")


class DocumentFileError(PasslaneError):
    """A document file is invalid; the message names the file, the document and the key."""

    def __init__(self, path: Path, location: str, message: str) -> None:
        super().__init__(ErrorCode.INVALID_DOCUMENT, f"{path}: {location}{message}")


@dataclass(frozen=True)
class DocumentDraft:
    """A document of a file.

    ``body`` is JSON as it is recorded. ``version`` is the version that the document is based
    on, ``None`` if the file does not give it.
    """

    kind: DocumentKind
    name: str
    body: str
    version: int | None = None


def load_document_files(path: Path) -> list[DocumentDraft]:
    """Return the documents of a file, or of all ``*.toml`` files in a folder.

    They are sorted so that a document comes after those that it refers to.

    Raises
    ------
    DocumentFileError
        When a file cannot be read or has no document, when a document is invalid, or when
        two documents have the same kind and name.
    """
    files = sorted(path.glob("*.toml")) if path.is_dir() else [path]
    drafts = [draft for file in files for draft in _load_file(file)]
    if not drafts:
        raise DocumentFileError(path, "", "has no document")
    _check_unique(path, drafts)
    return sorted(drafts, key=lambda draft: _KIND_ORDER[draft.kind])


def _check_unique(path: Path, drafts: list[DocumentDraft]) -> None:
    seen: set[tuple[DocumentKind, str]] = set()
    for draft in drafts:
        key = (draft.kind, draft.name)
        if key in seen:
            raise DocumentFileError(path, "", f"{draft.kind}/{draft.name} stands there twice")
        seen.add(key)


def _load_file(path: Path) -> list[DocumentDraft]:
    tables = _read_tables(path)
    return [
        _to_draft(path, "" if len(tables) == 1 else f"document {number}: ", table)
        for number, table in enumerate(tables, start=1)
    ]


def _read_tables(path: Path) -> list[dict[str, Any]]:
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise DocumentFileError(path, "", error.strerror or str(error)) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise DocumentFileError(path, "", f"not TOML: {error}") from error
    if DOCUMENT_TABLE not in data:
        return [data]
    tables = data.pop(DOCUMENT_TABLE)
    if data:
        raise DocumentFileError(path, "", f"unknown key {next(iter(data))!r}")
    if not isinstance(tables, list):
        raise DocumentFileError(path, "", "document: expected an array of tables, [[document]]")
    return tables


def _to_draft(path: Path, location: str, table: dict[str, Any]) -> DocumentDraft:
    fields = dict(table)
    try:
        kind = parse_kind(_pop_string(fields, "kind"))
        name = _pop_string(fields, "name")
        check_name(name)
        version = _pop_version(fields)
        if kind is DocumentKind.POLICY:
            _read_source(path, fields)
        body = encode_body(parse_fields(kind, fields))
    except PasslaneError as error:
        key = _KEY_IN_MESSAGE.search(error.message)
        key_prefix = f"{key.group(1)}: " if key and key.group(1) else ""
        raise DocumentFileError(path, f"{location}{key_prefix}", error.message) from error
    return DocumentDraft(kind=kind, name=name, body=body, version=version)


def _pop_string(fields: dict[str, Any], key: str) -> str:
    value = fields.pop(key, None)
    if not isinstance(value, str):
        raise PasslaneError(ErrorCode.INVALID_DOCUMENT, f"{key}: expected a string")
    return value


def _pop_version(fields: dict[str, Any]) -> int | None:
    version = fields.pop("version", None)
    if version is not None and (not isinstance(version, int) or version < 0):
        raise PasslaneError(ErrorCode.INVALID_DOCUMENT, "version: expected an integer from 0")
    return version


def _read_source(path: Path, fields: dict[str, Any]) -> None:
    name = fields.pop(SOURCE_FILE_KEY, None)
    if name is None:
        return
    if "source" in fields:
        raise PasslaneError(
            ErrorCode.INVALID_DOCUMENT, f"{SOURCE_FILE_KEY}: not allowed together with 'source'"
        )
    try:
        fields["source"] = (path.parent / str(name)).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise PasslaneError(
            ErrorCode.INVALID_DOCUMENT, f"{SOURCE_FILE_KEY}: {name}: {error}"
        ) from error
