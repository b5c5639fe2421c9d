"""Read what an early start needs from the platform, before other modules are loaded.

Only the standard library is imported here, as the other imports take most of a start.
"""

import base64
import http.client
import json
import socket

from trefoilstage.platform.settings_file import get_settings_path, parse_lines
from trefoilstage.util.early_socket import Address, open_if_fleet_is_down

# The store answers in 5 to 9 ms. A start must not wait for a slow one.
STORE_TIMEOUT_S = 0.15
HOSTS_PATH = "/trefoilstage/log-newest?topic=keyed.hosts&part=0"
HTTP_OK = 200
MAX_LIST_BYTES = 4_000_000


def open_early_socket() -> socket.socket | None:
    """Return a listening socket for callers if the whole fleet seems to be starting.

    Settings or answers that can't be read are reported by the start itself.
    """
    try:
        fields = dict(parse_lines(get_settings_path().read_text()))
        host, _, port = fields["listen.front"].rpartition(":")
        peers = list_peers(fields["platform.address"], fields["node_name"])
        return open_if_fleet_is_down((host, int(port)), peers)
    except (KeyError, ValueError, OSError, http.client.HTTPException):
        return None


def list_peers(store_address: str, own_name: str) -> list[Address]:
    """Return the addresses at which the other hosts listen for their peers."""
    connection = http.client.HTTPConnection(store_address, timeout=STORE_TIMEOUT_S)
    try:
        connection.request("GET", HOSTS_PATH)
        response = connection.getresponse()
        data = response.read(MAX_LIST_BYTES)
    finally:
        connection.close()
    if response.status != HTTP_OK:
        return []
    return [
        decode_address(item["value"])
        for item in json.loads(data)["items"]
        if item["key"] != own_name
    ]


def decode_address(value: str) -> Address:
    """Return the address in a host's record."""
    url = json.loads(base64.b64decode(value))["peer_url"]
    host, _, port = url.removeprefix("ws://").rpartition(":")
    return host, int(port)
