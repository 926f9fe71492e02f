"""Publishes a configuration on the platform atomically.

Documents are written first, named by digest. One conditional write of the head object, which lists
them all, then puts them in force.
"""

import dataclasses
import datetime
import uuid

import msgspec

from plumarch.config import files
from plumarch.core import errors
from plumarch.object_api import protocol

PREFIX = "config/"
HEAD = "config/head"
MAX_WRITE_ATTEMPTS = 5


class Head(msgspec.Struct, frozen=True):
    """The object that lists the documents in force.

    Attributes:
      manifest: document name to digest.
      token: identifies the change, also when its write is repeated.
    """

    revision: int
    manifest: dict[str, str]
    author: str = ""
    at: str = ""
    note: str = ""
    token: str = ""


class ChangeConflict(errors.PlumarchError):
    """Another change was published first; nothing of this one is in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The configuration on the platform, and the version of its head object."""

    version: int
    head: Head


def document_name(digest: str) -> str:
    """Return the name of the object that holds a document's text."""
    return f"{PREFIX}doc/{digest}"


async def read_head(platform: protocol.Platform) -> Current:
    """Read the head. Raises PlatformUnavailable."""
    try:
        found = await platform.get(HEAD)
    except errors.PlatformAbsent:
        return Current(0, Head(0, {}))
    return Current(found.version, msgspec.json.decode(found.value, type=Head))


async def read_texts(platform: protocol.Platform, manifest: dict[str, str]) -> dict[str, str]:
    """Read the texts of a manifest's documents, by document name."""
    texts = {}
    for name, digest in sorted(manifest.items()):
        texts[name] = (await platform.get(document_name(digest))).value.decode()
    return texts


async def merged(
    platform: protocol.Platform, current: Current, given: files.Documents, prune: bool
) -> files.Documents:
    """Return the complete set of documents that an apply would put in force.

    Args:
      platform: where the documents in force are read from.
      prune: whether to remove documents that are not among the given ones.
    """
    kept = {} if prune else current.head.manifest
    texts = await read_texts(platform, {n: d for n, d in kept.items() if n not in given.texts})
    return files.Documents({**texts, **given.texts}, dict(given.files), list(given.problems))


async def publish(
    platform: protocol.Platform,
    current: Current,
    wanted: files.Documents,
    author: str,
    note: str,
) -> int:
    """Put a validated set of documents in force, all of them or none.

    Returns:
      The new revision; it is durable on the platform.
    Raises:
      ChangeConflict: the head changed since current was read.
      PlatformUnavailable: the platform could not be reached; nothing is in force.
      PlatformAnswerLost: it is unknown whether the change took effect.
    """
    manifest = wanted.manifest()
    for name, digest in sorted(manifest.items()):
        if current.head.manifest.get(name) != digest:
            await _write_document(platform, digest, wanted.texts[name])
    head = Head(
        current.head.revision + 1,
        manifest,
        author,
        datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        note,
        uuid.uuid4().hex,
    )
    await _write_head(platform, current, head)
    return head.revision


async def _write_document(platform: protocol.Platform, digest: str, text: str) -> None:
    """Write a document, unless it exists."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            await platform.put(document_name(digest), text.encode(), 0)
        except errors.PlatformConflict:
            return
        except errors.PlatformAnswerLost:
            continue
        return
    raise errors.PlatformUnavailable(
        "The platform's answers are lost repeatedly. Apply again later."
    )


async def _write_head(platform: protocol.Platform, current: Current, head: Head) -> None:
    """Write the head, repeating the write while its answer is lost."""
    value = msgspec.json.encode(head)
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            await platform.put(HEAD, value, current.version)
        except errors.PlatformAnswerLost:
            # The repeated write expects the same version, so at most one of them succeeds.
            continue
        except errors.PlatformConflict as error:
            now = await read_head(platform)
            if now.head.token == head.token:
                return
            raise ChangeConflict(_describe_conflict(current, now)) from error
        return
    raise errors.PlatformAnswerLost(
        "It is not known whether the change is in force. Run `plumarch diff` to see."
    )


def _describe_conflict(before: Current, now: Current) -> str:
    """Return a message with the change since a head was read, and the remedy."""
    old = before.head.manifest
    new = now.head.manifest
    changed = sorted(n for n in old.keys() | new.keys() if old.get(n) != new.get(n))
    head = now.head
    return (
        f"{head.author or 'Somebody'} put revision {head.revision} in force at {head.at}"
        f" ({head.note or 'no note'}); changed: {', '.join(changed) or 'nothing'}."
        " Nothing of this change is in force."
        " Remedy: run `plumarch diff`, take their change into your files, apply again."
    )
