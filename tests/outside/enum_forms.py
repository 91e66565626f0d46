"""Values of enumerations, among them the codes of errors and the exit codes."""

import enum

from outside.struct_forms import import_product, is_of_the_product


def enum_forms() -> list[list[str]]:
    """Return the sorted values of every enumeration whose members are strings or numbers."""
    import_product()
    found: set[tuple[str, ...]] = set()
    for base in (enum.StrEnum, enum.IntEnum):
        for values in base.__subclasses__():
            if is_of_the_product(values):
                found.add(tuple(sorted(str(member.value) for member in values)))
    return [list(values) for values in sorted(found)]
