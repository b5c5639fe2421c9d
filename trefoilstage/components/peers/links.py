"""Keep one link for each peer."""

from mode import Service

from trefoilstage.components.peers.link import PeerLink


class PeerLinks(Service):  # type: ignore[misc]
    """Own the links to peers, opened when first used."""

    def __init__(self) -> None:
        super().__init__()
        self._links: dict[str, PeerLink] = {}

    def get_link(self, url: str) -> PeerLink:
        """Return the link to a peer's address."""
        return self._links.setdefault(url, PeerLink(url=url))

    async def on_stop(self) -> None:
        """Close every link."""
        for link in self._links.values():
            await link.close()
