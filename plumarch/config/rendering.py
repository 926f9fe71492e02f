"""Renders template and workspace documents to data.Workspace.

A section [class.NAME] or [service.NAME] of a workspace replaces that of its template.
"""

import re
from typing import Annotated

import msgspec

from plumarch.config import fields, ini
from plumarch.core import data, file_problems

NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
DIGEST = re.compile(r"^[0-9a-f]{64}$")
METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})


def _name(value: str) -> str:
    if not NAME.match(value):
        raise ValueError("a name is lower-case letters, digits and hyphens, at most 63")
    return value


def _digest(value: str) -> str:
    if not DIGEST.match(value):
        raise ValueError("must be a SHA-256 in 64 hexadecimal digits")
    return value


def _patterns(text: str) -> tuple[str, ...]:
    found = fields.split_list(text)
    for pattern in found:
        method, _, path = pattern.partition(" ")
        if method not in METHODS or not path.startswith("/"):
            raise ValueError(f"{pattern!r} is not METHOD /path")
    return found


Name = Annotated[str, fields.parsed_by(_name)]


class TemplateHead(ini.Section, frozen=True):
    """The section [template]."""

    name: Name
    description: str = ""


class WorkspaceHead(ini.Section, frozen=True):
    """The section [workspace]."""

    name: Name
    template: Name
    token_sha256: Annotated[str, fields.parsed_by(_digest)]
    model: str
    adapter: str = ""
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    data_centres: fields.CommaSeparated = ()
    vm_classes: fields.CommaSeparated = ()


class ClassSection(ini.Section, frozen=True):
    """A section [class.NAME]: latency targets in milliseconds."""

    first_token_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    between_tokens_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    total_ms: Annotated[int, msgspec.Meta(ge=0)] = 0


class ServiceSection(ini.Section, frozen=True):
    """A section [service.NAME]."""

    request_class: data.RequestClass = msgspec.field(default=data.RequestClass.LOOKUP, name="class")
    not_repeatable: Annotated[tuple[str, ...], fields.parsed_by(_patterns)] = ()


def template_name(workspace_text: str) -> str:
    """Return the name of a workspace document's template, or ""."""
    document = ini.parse("", workspace_text)
    return document.sections.get("workspace", {}).get("template", "")


def read_template(file: str, text: str) -> tuple[str, list[file_problems.Problem]]:
    """Validate a template document.

    Returns:
      Its name ("" if it has none) and all problems.
    """
    document = ini.parse(file, text)
    head = document.section("template", TemplateHead)
    document.allow_sections({"template"}, ("class.", "service."))
    _classes(document)
    _services(document)
    return (head.name if head else ""), document.problems


def render(
    file: str, text: str, template_text: str
) -> tuple[data.Workspace | None, list[file_problems.Problem]]:
    """Render a workspace over its template.

    Args:
      file: the workspace document's name, for problems.
      template_text: its template; "" if there is none of that name.
    Returns:
      The workspace, or None if there are problems; and all problems.
    """
    document = ini.parse(file, text)
    head = document.section("workspace", WorkspaceHead)
    document.allow_sections({"workspace"}, ("class.", "service."))
    if head is not None and not template_text:
        document.problem(
            "workspace",
            "template",
            f"there is no template {head.template!r}",
            "name one that exists, or apply the template along with the workspace.",
        )
    template = ini.parse("template", template_text)
    targets = {**_classes(template), **_classes(document)}
    services = {**_services(template), **_services(document)}
    if head is None or document.problems:
        return None, document.problems
    workspace = data.Workspace(
        head.name,
        head.template,
        head.token_sha256,
        head.model,
        head.adapter,
        head.weight,
        frozenset(head.data_centres),
        head.vm_classes,
        targets,
        services,
    )
    return workspace, []


def _classes(document: ini.Document) -> dict[data.RequestClass, data.LatencyTarget]:
    targets = {}
    known = [str(member) for member in data.RequestClass]
    for section in document.sections:
        if not section.startswith("class."):
            continue
        name = section.removeprefix("class.")
        if name not in known:
            document.problem(
                section, "", f"there is no class {name!r}", f"use one of: {', '.join(known)}."
            )
            continue
        model = document.section(section, ClassSection)
        if model is not None:
            targets[data.RequestClass(name)] = data.LatencyTarget(
                model.first_token_ms, model.between_tokens_ms, model.total_ms
            )
    return targets


def _services(document: ini.Document) -> dict[str, data.Service]:
    services = {}
    for section in document.sections:
        if not section.startswith("service."):
            continue
        name = section.removeprefix("service.")
        model = document.section(section, ServiceSection)
        if model is not None:
            services[name] = data.Service(name, model.request_class, model.not_repeatable)
    return services
