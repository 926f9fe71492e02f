"""Reads INI texts into validated models; reports each problem with file and line."""

import configparser
import dataclasses
import pathlib
import re
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from plumarch.config import fields
from plumarch.core import errors, file_problems

SECTION_LINE = re.compile(r"^\[(?P<name>[^\]]+)\]")
KEY_LINE = re.compile(r"^(?P<key>[A-Za-z0-9_.-]+)\s*[=:]")

Model = TypeVar("Model", bound="Section")
Read = TypeVar("Read")


class Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the models of sections; unknown keys are problems."""


@dataclasses.dataclass(slots=True)
class Document:
    """A parsed INI text, the lines of its keys, and the problems found so far."""

    file: str
    sections: dict[str, dict[str, str]]
    lines: dict[tuple[str, str], int]
    problems: list[file_problems.Problem] = dataclasses.field(default_factory=list)

    def problem(self, section: str, key: str, message: str, remedy: str) -> None:
        """Add a problem of a section's key, or of the section if key is ""."""
        line = self.lines.get((section, key)) or self.lines.get((section, ""), 0)
        self.problems.append(file_problems.Problem(self.file, line, section, key, message, remedy))

    def section(self, name: str, model: type[Model], required: bool = True) -> Model | None:
        """Validate one section.

        Args:
          name: the section's name.
          model: the section's model.
          required: whether a missing section is a problem; if not, defaults apply.
        Returns:
          The model, or None if there were problems.
        """
        if name not in self.sections and required:
            self.problem(name, "", "the section is missing", f"add a section [{name}].")
            return None
        given = self.sections.get(name, {})
        before = len(self.problems)
        wanted = {field.encode_name: field for field in msgspec.structs.fields(model)}
        for key in given:
            if key not in wanted:
                remedy = f"remove it, or use one of: {', '.join(wanted)}."
                self.problem(name, key, "unknown key", remedy)
        values = {}
        for key, field in wanted.items():
            if key in given:
                values[field.name] = self._value(name, key, field.type, given[key])
            elif field.required:
                self.problem(name, key, "the key is missing", f"add `{key} = ...`.")
        return model(**values) if len(self.problems) == before else None

    def _value(self, section: str, key: str, wanted: Any, text: str) -> Any:
        try:
            return fields.read(wanted, text)
        except ValueError as error:
            self.problem(section, key, str(error), "correct the value.")
            return None

    def allow_sections(self, exact: set[str], prefixes: tuple[str, ...] = ()) -> None:
        """Add a problem for each unknown section."""
        for name in self.sections:
            if name not in exact and not name.startswith(prefixes or ("\0",)):
                wanted = ", ".join(sorted(exact) + [f"{p}NAME" for p in prefixes])
                self.problem(name, "", "unknown section", f"use one of: {wanted}.")


def parse(file: str, text: str) -> Document:
    """Parse an INI text.

    Returns:
      The document; syntax errors are among its problems.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True, default_section="")
    found = []
    try:
        parser.read_string(text, source=file)
    except configparser.MissingSectionHeaderError as error:
        found.append(_syntax(file, error.lineno, "text before the first [section]"))
    except configparser.ParsingError as error:
        for line, _ in error.errors:
            found.append(_syntax(file, line, "neither [section] nor key = value"))
    except (configparser.DuplicateOptionError, configparser.DuplicateSectionError) as error:
        found.append(_syntax(file, error.lineno or 0, error.message.split("]: ")[-1]))
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return Document(file, sections, _line_index(text), found)


def load(
    path: str, read: Callable[[str, str], tuple[Read | None, list[file_problems.Problem]]]
) -> Read:
    """Read and validate a settings file.

    Args:
      read: validates a text, given the file's name and the text.
    Raises:
      SettingsError: lists all problems, each with file, section, key and remedy.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path} can't be read: {error}. Name a file.") from error
    found, faults = read(path, text)
    if found is None:
        raise errors.SettingsError("\n".join(fault.text() for fault in faults))
    return found


def _syntax(file: str, line: int, message: str) -> file_problems.Problem:
    return file_problems.Problem(
        file, line, "", "", message, "write [section] lines and key = value."
    )


def _line_index(text: str) -> dict[tuple[str, str], int]:
    """Return the line number of each section and key."""
    lines: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        head = SECTION_LINE.match(line)
        if head:
            section = head["name"]
            lines.setdefault((section, ""), number)
            continue
        entry = KEY_LINE.match(line)
        if entry:
            lines.setdefault((section, entry["key"].lower()), number)
    return lines
