"""Commands that list and edit the sections of the configuration."""

import dataclasses
import json
import pathlib
import tomllib
import typing

import cappa

from geraniumridge._internal.commands import base
from geraniumridge._internal import exceptions
from geraniumridge._internal.models import config
from geraniumridge._internal.network import configstore
from geraniumridge._internal.utils import codec


@cappa.command(name="list", help="List the entries.")
@dataclasses.dataclass
class ListEntries:
    """List the entries of a section."""

    def run(self, section, options):
        """Print the entries of the section."""
        loaded = base.run_with_client(configstore.load_chain, options)
        entries = getattr(loaded.document, section)
        rows = [[name, codec.encode(value)] for name, value in entries.items()]
        base.print_rows(options, ["name", "value"], sorted(rows))


@cappa.command(name="set", help="Set one entry.")
@dataclasses.dataclass
class SetEntry:
    """Set one entry of a section."""

    name: typing.Annotated[str, cappa.Arg(help="Name of the entry.")]
    value: typing.Annotated[
        str, cappa.Arg(help="The entry: JSON, or the plan's name.")
    ]

    def run(self, section, options):
        """Commit the entry."""
        value = self.value
        if section != "plans":
            value = _read_json(f"{section}.{self.name}", self.value)
        edit = config.Edit(section, self.name, value)
        base.commit_and_print(options, lambda document: [edit])


@cappa.command(name="remove", help="Remove one entry.")
@dataclasses.dataclass
class RemoveEntry:
    """Remove one entry of a section."""

    name: typing.Annotated[str, cappa.Arg(help="Name of the entry.")]

    def run(self, section, options):
        """Commit the removal."""

        def make_edits(document):
            if self.name not in getattr(document, section):
                raise exceptions.SettingsError(
                    section, [f"{self.name}: No such entry"]
                )
            return [config.Edit(section, self.name)]

        base.commit_and_print(options, make_edits)


@cappa.command(
    name="apply", help="Replace the section by that of a TOML file."
)
@dataclasses.dataclass
class ApplyFile:
    """Replace a section by the table of a TOML file."""

    file: typing.Annotated[str, cappa.Arg(help="TOML file.")]

    def run(self, section, options):
        """Commit all differences in one change."""
        desired = read_section(self.file, section)
        base.commit_and_print(
            options, lambda document: diff_section(document, section, desired)
        )


Action = ListEntries | SetEntry | RemoveEntry | ApplyFile


@cappa.command(name="plans", help="Which plan each team has.")
@dataclasses.dataclass
class Plans:
    """The plan of each team."""

    action: cappa.Subcommands[Action]

    def run(self, options):
        """Run the action."""
        self.action.run("plans", options)


@cappa.command(name="use", help="What each plan may use.")
@dataclasses.dataclass
class Use:
    """What each plan may use."""

    action: cappa.Subcommands[Action]

    def run(self, options):
        """Run the action."""
        self.action.run("use", options)


@cappa.command(name="groups", help="The database groups.")
@dataclasses.dataclass
class Groups:
    """The database groups and their targets."""

    action: cappa.Subcommands[Action]

    def run(self, options):
        """Run the action."""
        self.action.run("groups", options)


def read_section(path, section):
    """Return the table of a section from a TOML file.

    Raises
    ------
    exceptions.SettingsError
        If the file cannot be read, lacks the table or has others; names
        file, key and reason.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise exceptions.SettingsError(path, [str(error)])
    if not isinstance(data.get(section), dict):
        raise exceptions.SettingsError(path, [f"{section}: Missing table"])
    problems = [
        f"{key}: Unknown section (this command applies {section!r})"
        for key in data
        if key != section
    ]
    if problems:
        raise exceptions.SettingsError(path, problems)
    return data[section]


def diff_section(document, section, desired):
    """Return the edits that turn a section into the desired table."""
    current = codec.encode(getattr(document, section))
    edits = [
        config.Edit(section, name) for name in current if name not in desired
    ]
    for name, value in desired.items():
        if current.get(name) != value:
            edits.append(config.Edit(section, name, value))
    return edits


def _read_json(source, text):
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        raise base.make_exit(
            f"{source}: not valid JSON: {error}", base.EXIT_BAD_INPUT
        )
