"""Call the peers that stand in for the log."""

import asyncio
from collections.abc import AsyncIterator

from trefoilstage.blackboard import Blackboard
from trefoilstage.components.peers.links import PeerLinks
from trefoilstage.components.peers.messages import PeerMessage
from trefoilstage.exceptions import PeerUnavailableError
from trefoilstage.util.hashing import rank_by_rendezvous

PEER_TIMEOUT_S = 1.0
MAX_PEERS_ASKED = 4


class LogPeers:
    """Choose the peers to ask, and ask them one after the other."""

    def __init__(self, *, blackboard: Blackboard, links: PeerLinks) -> None:
        self._blackboard = blackboard
        self._links = links
        self._favourite = ""
        self._n_picked = 0
        self._n_unheard = 0
        self._unheard = ""

    @property
    def host(self) -> str:
        """Return the name of the host that asks."""
        return self._blackboard.host

    async def ask(
        self, message: PeerMessage, names: list[str]
    ) -> AsyncIterator[PeerMessage]:
        """Yield the replies of those that answer, in order."""
        for name in names:
            try:
                reply = await self.call(name, message)
            except PeerUnavailableError:
                if self._favourite == name:
                    self._favourite = ""
                continue
            self._favourite = name
            yield reply

    async def call(self, name: str, message: PeerMessage) -> PeerMessage:
        """Return a live peer's reply."""
        url = self._find_urls().get(name)
        if url is None and name == self._unheard:
            url = self.find_all_urls().get(name)
        if url is None:
            # Lost while another peer was asked. Taken for a fault of the program, it
            # ended hosts that were cut from the log just as their peers were lost.
            raise PeerUnavailableError(f"{name} is lost")
        return await self.call_at(url, message)

    async def call_at(self, url: str, message: PeerMessage) -> PeerMessage:
        """Return the reply of whoever listens at an address."""
        link = self._links.get_link(url)
        reply: PeerMessage = await link.call(message, timeout_s=PEER_TIMEOUT_S)
        return reply

    def rank(self) -> list[str]:
        """Return the peers to ask, the one that answered last first."""
        names = rank_by_rendezvous(self._blackboard.host, self._find_urls())
        if self._favourite in names:
            names.remove(self._favourite)
            names.insert(0, self._favourite)
        return names[:MAX_PEERS_ASKED]

    def pick_next(self) -> list[str]:
        """Return the peers whose turn it is, so that every one is asked in the end."""
        names = sorted(self._find_urls())
        first = self._n_picked % len(names) if names else 0
        self._n_picked += MAX_PEERS_ASKED
        picked = (names[first:] + names[:first])[:MAX_PEERS_ASKED]
        return [*picked, *self.pick_unheard()]

    def pick_unheard(self) -> list[str]:
        """Return the next of the hosts that aren't known to live, if there is one.

        A host that started again counts as lost until its announcement is folded, and
        may be the only one that has the record before that.
        """
        names = sorted(self.find_all_urls().keys() - self._find_urls().keys())
        if not names:
            return []
        self._unheard = names[self._n_unheard % len(names)]
        self._n_unheard += 1
        return [self._unheard]

    def find_all_urls(self) -> dict[str, str]:
        """Return the addresses of all other hosts, also of those taken for lost."""
        hosts = self._blackboard.config.hosts.values()
        urls = {entry.host: entry.peer_url for entry in hosts}
        # A host that started again under its name can't announce itself meanwhile.
        listed = self._blackboard.listed.values()
        urls |= {entry.host: entry.peer_url for entry in listed}
        urls.pop(self._blackboard.host, None)
        return urls

    def list_incarnations(self) -> dict[str, str]:
        """Return the incarnations of the hosts on the list, by host."""
        hosts = self._blackboard.config.hosts.values()
        return {entry.host: entry.incarnation for entry in hosts}

    def list_declared_lost(self) -> set[str]:
        """Return the hosts that nobody is to wait for, by an operator's word."""
        now = asyncio.get_running_loop().time()
        declared = self._blackboard.declared_lost
        return {name for name, until in declared.items() if now < until}

    def _find_urls(self) -> dict[str, str]:
        """Return live peers' addresses; a newcomer has only the platform's list."""
        urls = {
            item.host: item.peer_url
            for item in self._blackboard.listed.values()
            if item.host not in self._blackboard.config.hosts
            and item.host != self._blackboard.host
        }
        for entry in self._blackboard.list_live_peers():
            urls[entry.host] = entry.peer_url
        return urls
