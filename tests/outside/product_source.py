"""The syntax trees of the product, without its benches, simulations and emulators."""

import ast
from collections.abc import Iterator
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "passlane"
NOT_OF_THE_PRODUCT = frozenset({"bench", "simulation", "soak", "emulator"})


def product_files() -> list[Path]:
    """Return the source files of what runs in production."""
    return [
        path
        for path in sorted(SOURCE.rglob("*.py"))
        if path.relative_to(SOURCE).parts[0] not in NOT_OF_THE_PRODUCT
    ]


@cache
def product_trees() -> tuple[ast.Module, ...]:
    """Return the parsed source files of what runs in production."""
    return tuple(ast.parse(path.read_text()) for path in product_files())


def method_calls(names: frozenset[str]) -> Iterator[tuple[ast.Module, ast.Call, ast.Attribute]]:
    """Yield each call of a method with one of ``names``, with its module and what is called."""
    for tree in product_trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr in names:
                yield tree, node, node.func


def constant_text(node: ast.expr) -> str | None:
    """Return the text of a string constant; ``None`` for anything else."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    return None
