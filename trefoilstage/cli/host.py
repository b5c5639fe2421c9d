"""List hosts, show how one stands and drain it."""

import json
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.common import (
    HostOption,
    JsonOption,
    fail,
    make_client,
    split_urls,
)
from trefoilstage.cli.output import ExitCode, print_error, print_model, print_rows
from trefoilstage.cli.publish import HOSTS, STATUS
from trefoilstage.components.operators.models import DeclareLostBody
from trefoilstage.exceptions import NotReadyError

STATE: TypeAdapter[dict[str, Any]] = TypeAdapter(dict[str, Any])
LIST_COLUMNS = ("host", "data_center", "live", "caller_url", "operator_url")
STATUS_COLUMNS = (
    "host",
    "incarnation",
    "data_center",
    "phase",
    "revision",
    "caught_up",
    "n_active",
)
STREAM_COLUMNS = ("name", "reachable", "caught_up", "next_offset")

LIST_EXAMPLES = """Example:

    trefoilstage host list --host http://10.29.1.10:7070,http://10.29.2.10:7070
"""
STATE_EXAMPLES = """Examples:

    trefoilstage host state brest-1

    trefoilstage host state brest-1 --full
"""
DECLARE_EXAMPLES = """Example:

    trefoilstage host declare-lost brest-1 brest-2

Only for hosts that never come back: a change of configuration that only they had
accepted is lost. Streams of budgets wait on, as tokens could be spent twice.
"""
DRAIN_EXAMPLES = """Example:

    trefoilstage host drain brest-1
"""


@cappa.command(name="list", epilog=LIST_EXAMPLES)
@dataclass(kw_only=True)
class HostListCommand:
    """List the hosts of the fleet as the asked host sees them."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the hosts."""
        hosts = make_client(self.host).get("/hosts", HOSTS)
        print_rows(hosts, LIST_COLUMNS, as_json=self.json)


@cappa.command(name="state", epilog=STATE_EXAMPLES)
@dataclass(kw_only=True)
class HostStateCommand:
    """Show how a host stands, or with --full its whole state."""

    name: Annotated[str, cappa.Arg(help="the host's name, from `host list`")]
    host: HostOption
    json: JsonOption = False
    full: Annotated[bool, cappa.Arg(long=True, help="the dump of every part")] = False

    def __call__(self) -> None:
        """Print the state."""
        client = find_host(self.host, self.name)
        if self.full:
            print(json.dumps(client.get("/state", STATE), indent=2))
            return
        status = client.get("/status", STATUS)
        print_model(status, STATUS_COLUMNS, as_json=self.json)
        if not self.json:
            print()
            print_rows(status.streams, STREAM_COLUMNS, as_json=False)


@cappa.command(name="drain", epilog=DRAIN_EXAMPLES)
@dataclass(kw_only=True)
class HostDrainCommand:
    """Let a host finish what runs, give its draws back and end."""

    name: Annotated[str, cappa.Arg(help="the host's name, from `host list`")]
    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the order to that host alone."""
        answer = find_host(self.host, self.name).drain()
        print_model(answer, ("host", "draining"), as_json=self.json)


@cappa.command(name="declare-lost", epilog=DECLARE_EXAMPLES)
@dataclass(kw_only=True)
class HostDeclareLostCommand:
    """Let the configuration go on without what lost hosts may have read."""

    names: Annotated[
        list[str], cappa.Arg(help="hosts that are gone for good, also if replaced")
    ]
    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Tell every host that can be reached."""
        known = make_client(self.host).get("/hosts", HOSTS)
        unknown = sorted(set(self.names) - {host.host for host in known})
        if unknown:
            fail(ExitCode.REJECTED, f"no host {', '.join(unknown)}")
        body = DeclareLostBody(hosts=self.names)
        # A host that started again may still be listed under its former address.
        urls = [*split_urls(self.host), *(host.operator_url for host in known)]
        answers = []
        for url in dict.fromkeys(item.rstrip("/") for item in urls):
            try:
                answers.append(OperatorClient(urls=[url]).declare_lost(body))
            except NotReadyError as error:
                print_error(f"not told: {error}")
        print_rows(answers, ("host", "hosts"), as_json=self.json)


@cappa.command(name="host")
@dataclass(kw_only=True)
class HostCommand:
    """List hosts, show how one stands and drain it."""

    command: cappa.Subcommands[
        HostListCommand | HostStateCommand | HostDrainCommand | HostDeclareLostCommand
    ]


def find_host(hosts: str, name: str) -> OperatorClient:
    """Return a client of one host, found through any that answers."""
    known = {host.host: host for host in make_client(hosts).get("/hosts", HOSTS)}
    if name not in known:
        fail(ExitCode.REJECTED, f"no host {name}; known: {', '.join(sorted(known))}")
    return OperatorClient(urls=[known[name].operator_url])
