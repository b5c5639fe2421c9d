"""List the requests that must end before a lost host's watts are free; pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from trefoilstage.const import SITE_ACCOUNT_PREFIX
from trefoilstage.ledger.state import DrawState, DrawStatus

KEY_SEPARATOR = "/"


@dataclass(frozen=True, kw_only=True, slots=True)
class LostDraw:
    """Describe a lost host's draw and the requests that may still use its watts.

    Requests are listed by target; None means that the requests are unknown.
    `fencing` is a log offset; targets refuse requests of draws opened up to it.
    """

    name: str
    site: str
    holder: str
    fencing: int
    requests: Mapping[str, tuple[str, ...]] | None


def make_hold_key(target: str, request: str) -> str:
    """Return the key that identifies a hold's target and request on the log."""
    return f"{target}{KEY_SEPARATOR}{request}"


def group_holds(keys: Iterable[str]) -> dict[str, tuple[str, ...]]:
    """Return the requests of hold keys, grouped by target."""
    grouped: dict[str, tuple[str, ...]] = {}
    for key in sorted(keys):
        target, _, request = key.partition(KEY_SEPARATOR)
        grouped[target] = (*grouped.get(target, ()), request)
    return grouped


def is_site_draw(draw: DrawState) -> bool:
    """Return whether a draw is on a site's account and so in watts."""
    return draw.account.startswith(SITE_ACCOUNT_PREFIX)


def make_lost_draw(name: str, draw: DrawState, next_offset: int) -> LostDraw:
    """Return a lost host's draw with the requests that must end first.

    The witness's seal lists every request that may run. Without a seal no host
    knows them, and each target of the site must refuse the holder.
    """
    sealed = draw.status is DrawStatus.SEALED
    return LostDraw(
        name=name,
        site=draw.account.removeprefix(SITE_ACCOUNT_PREFIX),
        holder=draw.holder,
        fencing=draw.sealed if sealed else next_offset,
        requests=group_holds(hold.key for hold in draw.doubtful.values())
        if sealed
        else None,
    )


def is_responsible(
    draw: DrawState, incarnation: str, live: Mapping[str, str], lost: frozenset[str]
) -> bool:
    """Return whether this host asks the targets about a draw.

    `live` maps the live incarnations, this host's included, to host names;
    `lost` contains the incarnations that have been unreachable for long. It is
    harmless if two hosts are responsible, as what either reports is true.
    """
    if draw.witness == incarnation:
        return draw.status is DrawStatus.SEALED
    if draw.holder not in lost or (draw.witness and draw.witness not in lost):
        return False
    return live[incarnation] == min(live.values())
