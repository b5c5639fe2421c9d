"""List hosts, show how one stands and drain it."""

import json
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
from pydantic import TypeAdapter

from trefoilstage.cli.client import OperatorClient
from trefoilstage.cli.common import HostOption, JsonOption, fail, make_client
from trefoilstage.cli.output import ExitCode, print_model, print_rows
from trefoilstage.cli.publish import HOSTS, STATUS

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


@cappa.command(name="host")
@dataclass(kw_only=True)
class HostCommand:
    """List hosts, show how one stands and drain it."""

    command: cappa.Subcommands[HostListCommand | HostStateCommand | HostDrainCommand]


def find_host(hosts: str, name: str) -> OperatorClient:
    """Return a client of one host, found through any that answers."""
    known = {host.host: host for host in make_client(hosts).get("/hosts", HOSTS)}
    if name not in known:
        fail(ExitCode.REJECTED, f"no host {name}; known: {', '.join(sorted(known))}")
    return OperatorClient(urls=[known[name].operator_url])
