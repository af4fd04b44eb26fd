"""Entry point of ``geraniumridge``, the operators' tool."""

import dataclasses
import typing

import cappa

from geraniumridge._internal.commands import base
from geraniumridge._internal.commands import explain
from geraniumridge._internal.commands import keys
from geraniumridge._internal.commands import reports
from geraniumridge._internal.commands import sections
from geraniumridge._internal.commands import service
from geraniumridge._internal.models import settings

Command = (
    reports.Status
    | reports.Metrics
    | sections.Plans
    | sections.Use
    | sections.Groups
    | keys.Keys
    | service.Domains
    | service.Targets
    | service.Failover
    | explain.Explain
)


@cappa.command(
    name="geraniumridge",
    help="Operate the proxy.",
    description=(
        "Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with"
        " another operator's change, 4 platform or VM unavailable."
    ),
)
@dataclasses.dataclass
class Tool:
    """Options that come before the command."""

    command: cappa.Subcommands[Command]
    platform: typing.Annotated[
        str,
        cappa.Arg(
            long="--platform",
            default=cappa.Env("GERANIUMRIDGE_PLATFORM"),
            help="IP:port of the platform's key-value service.",
        ),
    ] = "127.0.0.1:7900"
    author: typing.Annotated[
        str, cappa.Arg(long="--author", help="Author of the change.")
    ] = ""
    secret: typing.Annotated[
        str,
        cappa.Arg(
            long="--secret",
            default=cappa.Env("GERANIUMRIDGE_OPERATOR_SECRET"),
            help="The daemons' operator secret.",
        ),
    ] = ""
    certificate: typing.Annotated[
        str, cappa.Arg(long="--certificate", help="Client certificate, PEM.")
    ] = ""
    key: typing.Annotated[
        str,
        cappa.Arg(long="--key", help="Private key of the certificate, PEM."),
    ] = ""
    authority: typing.Annotated[
        str,
        cappa.Arg(
            long="--authority", help="Trusted certificate authority, PEM."
        ),
    ] = ""
    as_json: typing.Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON.")
    ] = False


def main():
    """Parse the command line and run the command."""
    tool = cappa.parse(Tool, completion=False)
    tls = None
    if tool.authority:
        tls = settings.TlsSettings(tool.certificate, tool.key, tool.authority)
    options = base.Options(
        tool.platform, tool.author, tool.secret, tool.as_json, tls
    )
    try:
        tool.command.run(options)
    except cappa.Exit as error:
        cappa.Output().exit(error)
        raise SystemExit(error.code)
