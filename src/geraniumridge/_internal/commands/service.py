"""Commands that move primaries, and take domains and targets out of use."""

import dataclasses
import typing

import cappa

from geraniumridge._internal.commands import base
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config
from geraniumridge._internal.network import configstore
from geraniumridge._internal.utils import codec

Direction = typing.Literal["out", "in"]


@cappa.command(
    name="domains", help="Put failure domains in or out of service."
)
@dataclasses.dataclass
class Domains:
    """Failure domains in and out of service."""

    action: typing.Annotated[
        typing.Literal["out", "in", "list", "add"],
        cappa.Arg(help="What to do."),
    ]
    name: typing.Annotated[str, cappa.Arg(help="Name of the domain.")] = ""

    def run(self, options):
        """List the domains, or commit the domain's state."""
        if self.action == "list":
            loaded = base.run_with_client(configstore.load_chain, options)
            rows = [
                [name, entry.in_service, entry.region]
                for name, entry in loaded.document.domains.items()
            ]
            columns = ["domain", "in service", "region"]
            base.print_rows(options, columns, rows)
            return
        base.commit_and_print(options, self.make_edits)

    def make_edits(self, document):
        """Return the edit that sets the domain's state."""
        entry = document.domains.get(self.name)
        if self.action == "add":
            entry = config.DomainEntry()
        if entry is None:
            raise exceptions.SettingsError(
                "domains", [f"{self.name}: No such domain"]
            )
        entry = entry._replace(in_service=self.action != "out")
        return [config.Edit("domains", self.name, codec.encode(entry))]


@cappa.command(name="failover", help="Move a group's primary.")
@dataclasses.dataclass
class Failover:
    """Planned move of a group's primary to another target."""

    group: typing.Annotated[str, cappa.Arg(help="Name of the group.")]
    target: typing.Annotated[str, cappa.Arg(help="Name of the target.")]

    def run(self, options):
        """Commit the target that shall become the group's primary."""
        base.commit_and_print(options, self.make_edits)

    def make_edits(self, document):
        """Return the edit that sets the desired primary."""
        entry = document.groups.get(self.group)
        if entry is None:
            raise exceptions.SettingsError(
                "groups", [f"{self.group}: No such group"]
            )
        entry = entry._replace(primary=self.target)
        return [config.Edit("groups", self.group, codec.encode(entry))]


@cappa.command(name="targets", help="Put targets in or out of service.")
@dataclasses.dataclass
class Targets:
    """Targets in and out of service."""

    action: typing.Annotated[Direction, cappa.Arg(help="What to do.")]
    name: typing.Annotated[str, cappa.Arg(help="GROUP/TARGET.")]

    def run(self, options):
        """Commit the target's state."""
        base.commit_and_print(options, self.make_edits)

    def make_edits(self, document):
        """Return the edit that sets the target's state."""
        group, _, target = self.name.partition("/")
        entry = document.groups.get(group)
        if entry is None or target not in entry.targets:
            raise exceptions.SettingsError(
                "targets", [f"{self.name}: No such target (GROUP/TARGET)"]
            )
        item = entry.targets[target]
        item = item._replace(in_service=self.action == "in")
        entry = entry._replace(targets={**entry.targets, target: item})
        return [config.Edit("groups", group, codec.encode(entry))]
