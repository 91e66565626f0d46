"""Paths, headers and statuses of HTTP, as the source names them."""

import ast
import re
import sys

from outside.product_source import constant_text, method_calls, product_trees
from outside.struct_forms import import_product
from passlane.errors import ErrorCode

METHODS = frozenset({"GET", "PUT", "POST", "DELETE", "PATCH", "HEAD"})
PATH = re.compile(r"/[a-z(\[][^ ]*")
NAME = re.compile(r"x-[a-z-]+|[a-z]+(-[a-z]+)+|PASSLANE_[A-Z_]+")


def routes() -> list[str]:
    """Return ``METHOD PATTERN`` of every route that is added to a router."""
    found = []
    for _, call, _ in method_calls(frozenset({"add"})):
        words = [constant_text(argument) for argument in call.args[:2]]
        if len(words) == 2 and words[0] in METHODS:
            found.append(f"{words[0]} {words[1]}")
    return sorted(found)


def paths() -> list[str]:
    """Return every string of the source that looks like a path of HTTP or of a file."""
    return _strings_like(PATH)


def header_names() -> list[str]:
    """Return the strings that name headers and variables of the environment."""
    return _strings_like(NAME)


def tables_by_code() -> list[dict[str, str]]:
    """Return the tables from error codes to statuses, exit codes and the like."""
    import_product()
    tables: dict[int, dict[str, str]] = {}
    for name, module in list(sys.modules.items()):
        if name.startswith("passlane."):
            for value in vars(module).values():
                if isinstance(value, dict) and value and all(map(_is_code, value)):
                    tables[id(value)] = {str(code): str(to) for code, to in value.items()}
    return sorted(tables.values(), key=lambda table: sorted(table.items()))


def _is_code(key: object) -> bool:
    return isinstance(key, ErrorCode)


def _strings_like(pattern: re.Pattern[str]) -> list[str]:
    found = set()
    for tree in product_trees():
        for node in ast.walk(tree):
            text = constant_text(node) if isinstance(node, ast.expr) else None
            if text is not None and pattern.fullmatch(text):
                found.add(text)
    return sorted(found)
