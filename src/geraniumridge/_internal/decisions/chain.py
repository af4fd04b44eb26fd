"""The configuration as a hash chain of numbered changes.

Each change names the hash of the change before it, so that a change of
another chain is detected.
"""

import collections
import hashlib
import typing

import msgspec

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config
from geraniumridge._internal.utils import codec

FIRST_PREVIOUS_HASH = "0" * 64
"""`previous` of the first change, which follows no other."""

MAX_CHANGES_KEPT = 1_024
"""Accepted changes kept in memory for other VMs that ask for them; a VM
that lags further behind gets a whole snapshot."""


class Snapshot(typing.NamedTuple):
    """The configuration at one version."""

    version: int
    hash: str
    document: config.Document


def hash_change(change):
    """Return the hash that the next change must name."""
    data = msgspec.json.encode(codec.encode(change), order="sorted")
    return hashlib.sha256(data).hexdigest()


def apply_edits(document, edits):
    """Return the document that results from edits.

    Raises
    ------
    exceptions.SettingsError
        If an edit or the resulting document is invalid; it names each
        invalid entry.
    """
    sections = {
        name: dict(table) for name, table in document._asdict().items()
    }
    for edit in edits:
        if edit.value is None:
            sections[edit.section].pop(edit.name, None)
            continue
        entry_type = config.ENTRY_TYPES[edit.section]
        source = f"{edit.section}.{edit.name}"
        value = codec.decode(entry_type, edit.value, source)
        sections[edit.section][edit.name] = value
    changed = config.Document(**sections)
    problems = list(find_problems(changed))
    if problems:
        raise exceptions.SettingsError("configuration", problems)
    return changed


def find_problems(document):
    """Yield a message for each reference to a missing entry."""
    for team, plan in document.plans.items():
        if plan not in document.use:
            yield f"plans.{team}: No plan {plan!r} in use"
    for plan, plan_use in document.use.items():
        for group in plan_use.groups:
            if group not in document.groups:
                yield f"use.{plan}.groups.{group}: No such group"
    for digest, key in document.keys.items():
        if key.team not in document.plans:
            yield f"keys.{digest[:8]}: No team {key.team!r} in plans"
    for name, group in document.groups.items():
        yield from _find_target_problems(document, name, group)


def _find_target_problems(document, name, group):
    if not group.targets:
        yield f"groups.{name}.targets: At least one target is needed"
    if group.primary and group.primary not in group.targets:
        yield f"groups.{name}.primary: No target {group.primary!r}"
    for target, entry in group.targets.items():
        if entry.domain not in document.domains:
            yield (
                f"groups.{name}.targets.{target}.domain:"
                f" No domain {entry.domain!r}"
            )


class ConfigChain:
    """The accepted configuration; its version never decreases."""

    def __init__(self):
        self._snapshot = Snapshot(0, FIRST_PREVIOUS_HASH, config.Document())
        self._changes = collections.deque(maxlen=MAX_CHANGES_KEPT)

    @property
    def snapshot(self):
        """The newest accepted version."""
        return self._snapshot

    @property
    def version(self):
        """Number of the newest accepted version."""
        return self._snapshot.version

    @property
    def document(self):
        """The configuration in force."""
        return self._snapshot.document

    def load_snapshot(self, snapshot):
        """Start from a snapshot, unless a version is already loaded.

        Returns
        -------
        bool
            Whether the snapshot was loaded.
        """
        if self.version > 0 or snapshot.version <= 0:
            return False
        self._snapshot = snapshot
        return True

    def accept(self, change):
        """Accept the next change of this chain.

        A change with invalid edits uses up its version number but leaves
        the document as it is, so that all VMs agree on the result.

        Returns
        -------
        list of str
            Why the edits were ignored; empty if they were applied.

        Raises
        ------
        exceptions.ConfigurationError
            If it isn't the next change of this chain.
        """
        if change.version != self.version + 1:
            raise exceptions.ConfigurationError(
                f"change {change.version} does not follow {self.version}"
            )
        if change.previous != self._snapshot.hash:
            raise exceptions.ConfigurationError(
                f"change {change.version} is of another chain"
            )
        problems = []
        document = self.document
        try:
            document = apply_edits(document, change.edits)
        except exceptions.SettingsError as error:
            problems = error.problems
        digest = hash_change(change)
        self._snapshot = Snapshot(change.version, digest, document)
        self._changes.append(change)
        return problems

    def find_change(self, version):
        """Return an accepted change, or None if it isn't kept."""
        index = version - self.version - 1 + len(self._changes)
        if 0 <= index < len(self._changes):
            return self._changes[index]
        return None

    def list_changes_after(self, version):
        """Return the changes after a version, None if not all are kept."""
        if version < self.version - len(self._changes):
            return None
        first = len(self._changes) - (self.version - version)
        return list(self._changes)[max(0, first) :]


def encode_change(change):
    """Return a change as JSON text."""
    return msgspec.json.encode(codec.encode(change)).decode()


def decode_change(text):
    """Return the change from its JSON text or its parsed JSON."""
    data = msgspec.json.decode(text) if isinstance(text, str) else text
    return codec.decode(config.Change, data, "configuration change")


def encode_snapshot(snapshot):
    """Return a snapshot as JSON text."""
    return msgspec.json.encode(codec.encode(snapshot)).decode()


def decode_snapshot(text):
    """Return the snapshot from its JSON text or its parsed JSON."""
    data = msgspec.json.decode(text) if isinstance(text, str) else text
    return codec.decode(Snapshot, data, "configuration snapshot")
