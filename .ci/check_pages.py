"""Finds what the pages name that the repository does not have; part of ``make lint``.

Looked at are links, paths, and names of classes and constants in README.md and docs/. Pages
below docs/measurements and docs/incidents tell of earlier code: of them only the links. Prints
a line for each missing name and ends with 1 if there is one.
"""

import re
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path, PurePath

ROOT = Path(__file__).resolve().parents[1]
CODE_FOLDERS = ("src/", "tests/", "deploy/", "examples/", "Makefile", "pyproject.toml")
CODE_ENDINGS = (".py", ".toml", ".json", ".yaml", "Makefile")
PAGES_OF_EARLIER_CODE = ("docs/measurements/", "docs/incidents/")

WRITTEN_BY_RUNS = frozenset({"processes/"})
"""Folders that a run fills, below one that is named to it."""

LINK = re.compile(r"\]\((?!https?:)([^)#\s]+)")
QUOTED = re.compile(r"`([^`]+)`")
IDENTIFIER = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
PATH = re.compile(r"[\w-][\w./-]*/|[\w-][\w/-]*\.py")
CLASS_OR_CONSTANT = re.compile(r"[A-Z][a-z0-9]+(?:[A-Z][A-Za-z0-9]*)+|[A-Z][A-Z0-9]+_[A-Z0-9_]+")
COMMAND = re.compile(r"passlane bench run ([a-z][a-z-]+)")


@dataclass(frozen=True)
class Repository:
    """What there is to be named.

    Attributes
    ----------
    paths
        Files that git tracks and the folders above them.
    names
        Identifiers in the code.
    code
        Text of the code.
    """

    paths: frozenset[str]
    names: frozenset[str]
    code: str

    def has_path(self, word: str) -> bool:
        """Return whether a path ends with these parts."""
        tail = word.rstrip("/")
        return any(path == tail or path.endswith(f"/{tail}") for path in self.paths)


def read_repository() -> Repository:
    """Read what git tracks, and new files that it does not ignore."""
    command = ["git", "-C", str(ROOT), "ls-files", "-co", "--exclude-standard"]
    listed = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    files = [name for name in listed.splitlines() if (ROOT / name).is_file()]
    code = "\n".join(
        (ROOT / name).read_text(errors="replace")
        for name in files
        if name.startswith(CODE_FOLDERS) and name.endswith(CODE_ENDINGS)
    )
    folders = {str(folder) for name in files for folder in PurePath(name).parents}
    return Repository(frozenset(files) | folders, frozenset(IDENTIFIER.findall(code)), code)


def missing_in(page: Path, repository: Repository) -> Iterator[str]:
    """Return a line for each thing that a page names and the repository lacks."""
    where = page.relative_to(ROOT).as_posix()
    only_links = where.startswith(PAGES_OF_EARLIER_CODE)
    for number, line in enumerate(page.read_text().splitlines(), 1):
        for link in LINK.findall(line):
            if not (page.parent / link).exists():
                yield f"{where}:{number}: link {link}"
        if only_links:
            continue
        for word in QUOTED.findall(line):
            if is_missing(word, repository):
                yield f"{where}:{number}: {word}"
        for name in COMMAND.findall(line):
            if f'"{name}"' not in repository.code:
                yield f"{where}:{number}: experiment {name}"


def is_missing(word: str, repository: Repository) -> bool:
    """Return whether a quoted word names a path, class or constant that is not there."""
    if word in WRITTEN_BY_RUNS:
        return False
    if PATH.fullmatch(word):
        return not repository.has_path(word)
    return bool(CLASS_OR_CONSTANT.fullmatch(word)) and word not in repository.names


def main() -> int:
    """Check all pages and return the exit code."""
    repository = read_repository()
    pages = [ROOT / "README.md", *sorted(ROOT.glob("docs/**/*.md"))]
    missing = [line for page in pages for line in missing_in(page, repository)]
    print(*missing, f"{len(missing)} names in the pages that nothing bears", sep="\n")
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
