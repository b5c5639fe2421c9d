"""Manage the links to peers, one per address."""

from typing import Any

from mode import Service

from trefoilstage.components.peers.frames import Frame
from trefoilstage.components.peers.link import PeerLink
from trefoilstage.components.peers.round_trips import RoundTrips
from trefoilstage.helpers.codec import Codec


class PeerLinks(Service):
    """Create a link to each peer on first use and close all links at the end."""

    def __init__(
        self,
        *,
        outbound_address: str,
        codec: Codec[Frame[Any]],
        round_trips: RoundTrips | None = None,
    ) -> None:
        super().__init__()
        self._round_trips = round_trips or RoundTrips()
        self._codec = codec
        self._outbound_address = outbound_address
        self._links: dict[str, PeerLink] = {}

    def get_link(self, url: str) -> PeerLink:
        """Return the link to a peer's address; create it if there is none."""
        link = self._links.get(url)
        if link is None:
            link = PeerLink(
                url=url,
                outbound_address=self._outbound_address,
                codec=self._codec,
                round_trips=self._round_trips,
            )
            self._links[url] = link
        return link

    async def on_stop(self) -> None:
        """Close every link."""
        for link in self._links.values():
            await link.close()
