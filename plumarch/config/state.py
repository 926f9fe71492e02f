"""The configuration in force on a node.

Documents are compared by digest, so that a change renders only the affected workspaces.
"""

import hashlib

from plumarch.config import rendering
from plumarch.core import context, data, messages

TEMPLATE = "template/"
WORKSPACE = "workspace/"

MAX_HISTORY = 64
"""Revisions of which changes are retained, for peers that are slightly behind."""


def digest_of(text: str) -> str:
    """Return the digest of a document."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class ConfigState:
    """The documents in force and the workspaces rendered from them."""

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.revision = 0
        self.manifest: dict[str, str] = {}
        self.documents: dict[str, str] = {}
        self.workspaces: dict[str, data.Workspace] = {}
        self.history: dict[int, dict[str, str]] = {}
        self.applied_ms = 0
        self.rendered = 0

    def apply(self, revision: int, manifest: dict[str, str], documents: dict[str, str]) -> bool:
        """Put a configuration in force if it is newer and complete.

        Args:
          revision: its revision; one that is not higher is ignored.
          manifest: document name to digest, for all documents.
          documents: texts by digest; those that this node has may be left out.
        Returns:
          Whether it is in force now.
        """
        if revision <= self.revision:
            self.ctx.count("config_ignored", label="not newer")
            return False
        known = {**self.documents, **documents}
        if any(digest not in known for digest in manifest.values()):
            return False
        changed = {n for n, digest in manifest.items() if self.manifest.get(n) != digest}
        changed |= {n for n in self.manifest if n not in manifest}
        self._record_change({name: manifest.get(name, "") for name in sorted(changed)})
        self.documents = {digest: known[digest] for digest in manifest.values()}
        self.manifest = dict(manifest)
        self.revision = revision
        self.applied_ms = self.ctx.now()
        touched = self._render(changed)
        self.ctx.count("config_applied")
        why = f"{len(changed)} documents changed, {len(touched)} workspaces touched"
        self.ctx.note(None, "config", f"revision {revision}", why)
        return True

    def _record_change(self, changes: dict[str, str]) -> None:
        """Record the changes from the revision in force to the next one."""
        self.history[self.revision] = changes
        while len(self.history) > MAX_HISTORY:
            del self.history[next(iter(self.history))]

    def to_message(self, revision: int) -> messages.ConfigGive:
        """Return the changes since an older revision, or all documents if they are not retained."""
        if revision not in self.history:
            return messages.ConfigGive(self.revision, 0, self.manifest, self.documents)
        changes: dict[str, str] = {}
        for base, step in self.history.items():
            if base >= revision:
                changes.update(step)
        documents = {d: self.documents[d] for d in changes.values() if d in self.documents}
        return messages.ConfigGive(self.revision, revision, changes, documents)

    def apply_message(self, given: messages.ConfigGive) -> bool:
        """Apply a peer's configuration message.

        Returns:
          Whether it is in force now; False if it is not newer, or if its changes are based on
          another revision than the one in force.
        """
        if given.base and given.base != self.revision:
            return False
        manifest = dict(given.manifest)
        if given.base:
            manifest = {**self.manifest, **given.manifest}
            manifest = {name: digest for name, digest in manifest.items() if digest}
        return self.apply(given.revision, manifest, given.documents)

    def missing(self, manifest: dict[str, str]) -> list[str]:
        """Return the digests in a manifest of the documents that this node lacks."""
        return sorted({d for d in manifest.values() if d not in self.documents})

    def _render(self, changed: set[str]) -> list[str]:
        """Render the workspaces that a change affects; return their names."""
        touched = []
        for name in sorted(self.manifest):
            if not name.startswith(WORKSPACE):
                continue
            workspace = name.removeprefix(WORKSPACE)
            current = self.workspaces.get(workspace)
            template = TEMPLATE + current.template if current else ""
            if name in changed or template in changed or current is None:
                self._render_one(workspace)
                touched.append(workspace)
        for workspace in list(self.workspaces):
            if WORKSPACE + workspace not in self.manifest:
                del self.workspaces[workspace]
                touched.append(workspace)
        return touched

    def _render_one(self, workspace: str) -> None:
        self.rendered += 1
        text = self.documents[self.manifest[WORKSPACE + workspace]]
        template_name = TEMPLATE + rendering.template_name(text)
        template = self.documents.get(self.manifest.get(template_name, ""), "")
        rendered, problems = rendering.render(workspace, text, template)
        if rendered is None:
            # Published documents are validated; this one is of another version of plumarch.
            why = problems[0].text() if problems else "no reason"
            self.ctx.count("config_rejected", workspace)
            self.ctx.note(None, "config", f"keep old {workspace}", why)
            return
        self.workspaces[workspace] = rendered
