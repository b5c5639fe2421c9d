"""List hosts, show a host's state, drain it or declare it lost."""

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
from trefoilstage.cli.publish import HOSTS_ADAPTER, STATUS_ADAPTER
from trefoilstage.components.operators.models import DeclareLostBody
from trefoilstage.exceptions import NotReadyError

STATE_ADAPTER: TypeAdapter[dict[str, Any]] = TypeAdapter(dict[str, Any])
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
DECLARE_LOST_EXAMPLES = """Example:

    trefoilstage host declare-lost brest-1 brest-2

Use this only for hosts that never return: a configuration change that only they had
accepted is lost. Ledger streams still wait for them, as tokens could be spent twice.
"""
DRAIN_EXAMPLES = """Example:

    trefoilstage host drain brest-1
"""


@cappa.command(name="list", epilog=LIST_EXAMPLES)
@dataclass(kw_only=True)
class HostListCommand:
    """List the hosts of the fleet as the answering host knows them."""

    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Print the hosts."""
        hosts = make_client(self.host).get("/hosts", HOSTS_ADAPTER)
        print_rows(hosts, LIST_COLUMNS, as_json=self.json)


@cappa.command(name="state", epilog=STATE_EXAMPLES)
@dataclass(kw_only=True)
class HostStateCommand:
    """Show a host's status, or with --full its complete state."""

    name: Annotated[str, cappa.Arg(help="the host's name, from `host list`")]
    host: HostOption
    json: JsonOption = False
    full: Annotated[
        bool, cappa.Arg(long=True, help="print the state of every component")
    ] = False

    def __call__(self) -> None:
        """Print the state."""
        client = make_host_client(self.host, self.name)
        if self.full:
            print(json.dumps(client.get("/state", STATE_ADAPTER), indent=2))
            return
        status = client.get("/status", STATUS_ADAPTER)
        print_model(status, STATUS_COLUMNS, as_json=self.json)
        if not self.json:
            print()
            print_rows(status.streams, STREAM_COLUMNS, as_json=False)


@cappa.command(name="drain", epilog=DRAIN_EXAMPLES)
@dataclass(kw_only=True)
class HostDrainCommand:
    """Let a host finish its running requests, return its draws and stop."""

    name: Annotated[str, cappa.Arg(help="the host's name, from `host list`")]
    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the drain request to this host only."""
        answer = make_host_client(self.host, self.name).drain()
        print_model(answer, ("host", "draining"), as_json=self.json)


@cappa.command(name="declare-lost", epilog=DECLARE_LOST_EXAMPLES)
@dataclass(kw_only=True)
class HostDeclareLostCommand:
    """Let configuration changes proceed without waiting for lost hosts."""

    names: Annotated[
        list[str], cappa.Arg(help="hosts that are permanently lost, also if replaced")
    ]
    host: HostOption
    json: JsonOption = False

    def __call__(self) -> None:
        """Send the declaration to every reachable host."""
        listed_hosts = make_client(self.host).get("/hosts", HOSTS_ADAPTER)
        unknown = sorted(set(self.names) - {host.host for host in listed_hosts})
        if unknown:
            fail(ExitCode.REJECTED, f"no host {', '.join(unknown)}")
        body = DeclareLostBody(hosts=self.names)
        # A restarted host may still be listed under its previous address.
        urls = [*split_urls(self.host), *(host.operator_url for host in listed_hosts)]
        answers = []
        for url in dict.fromkeys(item.rstrip("/") for item in urls):
            try:
                answers.append(OperatorClient(urls=[url]).declare_lost(body))
            except NotReadyError as error:
                print_error(f"not declared: {error}")
        print_rows(answers, ("host", "hosts"), as_json=self.json)


@cappa.command(name="host")
@dataclass(kw_only=True)
class HostCommand:
    """List hosts, show a host's state, drain it or declare it lost."""

    command: cappa.Subcommands[
        HostListCommand | HostStateCommand | HostDrainCommand | HostDeclareLostCommand
    ]


def make_host_client(hosts: str, name: str) -> OperatorClient:
    """Return a client for one host, looked up at the first host that answers."""
    hosts_by_name = {
        host.host: host for host in make_client(hosts).get("/hosts", HOSTS_ADAPTER)
    }
    if name not in hosts_by_name:
        fail(
            ExitCode.REJECTED,
            f"no host {name}; known: {', '.join(sorted(hosts_by_name))}",
        )
    return OperatorClient(urls=[hosts_by_name[name].operator_url])
