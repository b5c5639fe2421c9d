"""Call the peers through which this host uses the log while it is out of reach."""

import asyncio
from collections.abc import AsyncIterator

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.util.hashing import rank_by_rendezvous

PEER_TIMEOUT_S = 1.0
MAX_PEERS_CALLED = 4


class LogPeers:
    """Choose the peers to call, and call them one after the other."""

    def __init__(self, *, blackboard: Blackboard, links: PeerLinks) -> None:
        self._blackboard = blackboard
        self._links = links
        self._last_responder = ""
        self._n_picked = 0
        self._n_unconfirmed_picked = 0
        self._unconfirmed_host = ""

    @property
    def host(self) -> str:
        """Return the name of this host."""
        return self._blackboard.host

    async def call_each(
        self, message: PeerMessage, names: list[str]
    ) -> AsyncIterator[PeerMessage]:
        """Call peers one after the other and yield their replies.

        Peers that do not reply are skipped.
        """
        for name in names:
            try:
                reply = await self.call(name, message)
            except PeerUnavailableError:
                if self._last_responder == name:
                    self._last_responder = ""
                continue
            self._last_responder = name
            yield reply

    async def call(self, name: str, message: PeerMessage) -> PeerMessage:
        """Return a peer's reply.

        Raise PeerUnavailableError if the peer does not reply or is lost. The
        unconfirmed host that was picked last is called although it counts as lost.
        """
        url = self._get_live_urls().get(name)
        if url is None and name == self._unconfirmed_host:
            url = self.get_all_urls().get(name)
        if url is None:
            # The peer was lost while another one was called. An unexpected error here
            # ended hosts that lost the log and their peers at the same time.
            raise PeerUnavailableError(f"peer {name} is lost")
        return await self.call_at(url, message)

    async def call_at(self, url: str, message: PeerMessage) -> PeerMessage:
        """Return the reply of the host at an address."""
        link = self._links.get_link(url)
        reply: PeerMessage = await link.call(message, timeout_s=PEER_TIMEOUT_S)
        return reply

    def list_preferred(self) -> list[str]:
        """Return the live peers to call, the last one that replied first."""
        names = rank_by_rendezvous(self._blackboard.host, self._get_live_urls())
        if self._last_responder in names:
            names.remove(self._last_responder)
            names.insert(0, self._last_responder)
        return names[:MAX_PEERS_CALLED]

    def pick_next_peers(self) -> list[str]:
        """Return the next live peers in turn, and an unconfirmed host.

        Repeated calls of this method go through all live peers.
        """
        names = sorted(self._get_live_urls())
        first = self._n_picked % len(names) if names else 0
        self._n_picked += MAX_PEERS_CALLED
        picked = (names[first:] + names[:first])[:MAX_PEERS_CALLED]
        return [*picked, *self.pick_unconfirmed()]

    def pick_unconfirmed(self) -> list[str]:
        """Return the next host that is not known to be live, if there is one.

        A restarted host counts as lost until its announcement is folded, and may be the
        only host that has the record before it.
        """
        names = sorted(self.get_all_urls().keys() - self._get_live_urls().keys())
        if not names:
            return []
        self._unconfirmed_host = names[self._n_unconfirmed_picked % len(names)]
        self._n_unconfirmed_picked += 1
        return [self._unconfirmed_host]

    def get_all_urls(self) -> dict[str, str]:
        """Return the addresses of all other hosts, including lost ones, by host."""
        hosts = self._blackboard.config.hosts.values()
        urls = {entry.host: entry.peer_url for entry in hosts}
        # A host that restarted under its previous name may not have been able to
        # announce itself yet; the platform's list has its new address.
        listed = self._blackboard.listed.values()
        urls |= {entry.host: entry.peer_url for entry in listed}
        urls.pop(self._blackboard.host, None)
        return urls

    def get_incarnations(self) -> dict[str, str]:
        """Return the incarnations of the hosts in the configuration, by host."""
        hosts = self._blackboard.config.hosts.values()
        return {entry.host: entry.incarnation for entry in hosts}

    def list_declared_lost(self) -> set[str]:
        """Return the hosts that an operator has declared lost.

        A decision to skip a record of the configuration does not wait for them.
        """
        now = asyncio.get_running_loop().time()
        declared = self._blackboard.declared_lost
        return {name for name, until in declared.items() if now < until}

    def _get_live_urls(self) -> dict[str, str]:
        """Return the addresses of live peers and of hosts not yet announced, by host.

        The latter come from the platform's list, the only source that a new host has.
        """
        urls = {
            item.host: item.peer_url
            for item in self._blackboard.listed.values()
            if item.host not in self._blackboard.config.hosts
            and item.host != self._blackboard.host
        }
        for entry in self._blackboard.list_live_peers():
            urls[entry.host] = entry.peer_url
        return urls
