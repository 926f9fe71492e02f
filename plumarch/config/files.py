"""Reads, validates and compares operators' configuration files."""

import dataclasses
import difflib
import pathlib

from plumarch.config import ini, rendering, state
from plumarch.core import file_problems


@dataclasses.dataclass(slots=True)
class Documents:
    """Documents by name ("template/X", "workspace/Y"), and the problems found.

    Attributes:
      files: the file of each document.
    """

    texts: dict[str, str] = dataclasses.field(default_factory=dict)
    files: dict[str, str] = dataclasses.field(default_factory=dict)
    problems: list[file_problems.Problem] = dataclasses.field(default_factory=list)

    def manifest(self) -> dict[str, str]:
        """Return document name to digest."""
        return {name: state.digest_of(text) for name, text in self.texts.items()}


def collect(paths: list[str]) -> list[pathlib.Path]:
    """Return the files among paths and the .ini files in the folders among them."""
    found: list[pathlib.Path] = []
    for name in paths:
        path = pathlib.Path(name)
        found += sorted(path.rglob("*.ini")) if path.is_dir() else [path]
    return found


def read(paths: list[str]) -> Documents:
    """Read configuration files, each with one template or one workspace."""
    documents = Documents()
    for path in collect(paths):
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            documents.problems.append(
                file_problems.Problem(
                    str(path), 0, "", "", f"can't be read: {error}", "name a file."
                )
            )
            continue
        _add(documents, str(path), text)
    return documents


def _add(documents: Documents, file: str, text: str) -> None:
    document = ini.parse(file, text)
    kinds = [kind for kind in ("template", "workspace") if kind in document.sections]
    if len(kinds) != 1:
        message = "the file must have one of the sections [template] and [workspace]"
        documents.problems += document.problems
        documents.problems.append(
            file_problems.Problem(file, 1, "", "", message, "write one document a file.")
        )
        return
    kind = kinds[0]
    name = f"{kind}/{document.sections[kind].get('name', '')}"
    if name in documents.texts:
        message = f"{name} is also in {documents.files[name]}"
        documents.problems.append(
            file_problems.Problem(file, 1, kind, "name", message, "rename or remove one of them.")
        )
        return
    documents.texts[name] = text
    documents.files[name] = file


def validate(documents: Documents) -> list[file_problems.Problem]:
    """Return all problems of a complete set of documents, with file and line."""
    problems = list(documents.problems)
    tokens: dict[str, str] = {}
    for name, text in sorted(documents.texts.items()):
        file = documents.files.get(name, name)
        if name.startswith(state.TEMPLATE):
            _, found = rendering.read_template(file, text)
            problems += found
            continue
        template = documents.texts.get(state.TEMPLATE + rendering.template_name(text), "")
        workspace, found = rendering.render(file, text, template)
        problems += found
        if workspace is None:
            continue
        other = tokens.setdefault(workspace.token_digest, name)
        if other != name:
            message = f"{other} has the same token"
            problems.append(
                file_problems.Problem(
                    file, 0, "workspace", "token_sha256", message, "issue a token of its own."
                )
            )
    return problems


def difference(old: dict[str, str], new: dict[str, str]) -> list[str]:
    """Return a unified diff of two sets of documents."""
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        before = old.get(name, "").splitlines()
        after = new.get(name, "").splitlines()
        if before != after:
            lines += difflib.unified_diff(
                before, after, f"in force/{name}", f"files/{name}", lineterm=""
            )
    return lines
