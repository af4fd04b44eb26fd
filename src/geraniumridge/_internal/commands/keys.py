"""Commands that issue, withdraw and list callers' keys."""

import dataclasses
import datetime
import json
import secrets
import typing

import cappa

from geraniumridge._internal.commands import base
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config
from geraniumridge._internal.network import configstore

KEY_PREFIX = "gr_"
"""Start of each key; distinguishes a key from the id of one."""

MIN_ID_CHARS = 8
"""Shortest prefix of an id by which keys can be withdrawn."""


@cappa.command(name="issue", help="Issue a key; it is shown once.")
@dataclasses.dataclass
class IssueKey:
    """Issue a key to a team."""

    team: typing.Annotated[str, cappa.Arg(help="Name of the team.")]

    def run(self, options):
        """Store the key's hash and print the key."""
        key = KEY_PREFIX + secrets.token_urlsafe(32)
        digest = config.hash_key(key)
        now = datetime.datetime.now(datetime.timezone.utc)
        value = {"team": self.team, "issued": now.isoformat()}
        edit = config.Edit("keys", digest, value)

        version = base.commit_edits(options, lambda document: [edit])
        if options.as_json:
            data = {"key": key, "id": digest[:16], "version": version}
            print(json.dumps(data))
            return
        print(f"key: {key}")
        print(f"id: {digest[:16]} (version {version}); not shown again")


@cappa.command(name="withdraw", help="Withdraw keys by id or by team.")
@dataclasses.dataclass
class WithdrawKey:
    """Withdraw a key, or all keys of a team."""

    id: typing.Annotated[
        str, cappa.Arg(help="The key's id, or the key itself.")
    ] = ""
    team: typing.Annotated[
        str, cappa.Arg(long="--team", help="Withdraw all keys of a team.")
    ] = ""

    def run(self, options):
        """Remove the keys' hashes."""
        base.commit_and_print(options, self.make_edits)

    def make_edits(self, document):
        """Return the edits that remove the matching keys."""
        edits = [
            config.Edit("keys", digest)
            for digest, entry in document.keys.items()
            if self._matches(digest, entry)
        ]
        if not edits:
            raise exceptions.SettingsError("keys", ["no key matches"])
        return edits

    def _matches(self, digest, entry):
        if self.team:
            return entry.team == self.team
        if self.id.startswith(KEY_PREFIX):
            return digest == config.hash_key(self.id)
        return len(self.id) >= MIN_ID_CHARS and digest.startswith(self.id)


@cappa.command(name="list", help="List the keys' ids.")
@dataclasses.dataclass
class ListKeys:
    """List the issued keys."""

    def run(self, options):
        """Print id, team and time of issue of each key."""
        loaded = base.run_with_client(configstore.load_chain, options)
        rows = [
            [digest[:16], entry.team, entry.issued]
            for digest, entry in loaded.document.keys.items()
        ]
        base.print_rows(options, ["id", "team", "issued"], rows)


@cappa.command(name="keys", help="Issue and withdraw callers' keys.")
@dataclasses.dataclass
class Keys:
    """The callers' keys."""

    action: cappa.Subcommands[IssueKey | WithdrawKey | ListKeys]

    def run(self, options):
        """Run the action."""
        self.action.run(options)
