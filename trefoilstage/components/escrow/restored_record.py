"""Make good what an account's record lost when the store came back older; pure.

The records of an account form one history: each write is conditional on the one before
it. A copy of the store holds the beginning of that history, so the newest record that
any host knows is complete as of its position. Draws after it are known only to the
homes that made them and to the hosts that they granted to.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from trefoilstage.components.escrow.messages import AccountKnowledge, HomeGrants
from trefoilstage.components.escrow.record import AccountRecord, Holder
from trefoilstage.components.escrow.rosters import UNKNOWN_ROSTER, get_roster_name
from trefoilstage.components.views.store import make_position, split_position

NO_POSITION = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class RestoredRecord:
    """Describe a record that was written before the store last came back older."""

    record: AccountRecord
    era: int  # how often the store had come back when the record was read
    read_at: int  # its position in that era
    written_at: int | None  # its position when it was written, None if unknown


def make_restored(record: AccountRecord, position: int) -> RestoredRecord:
    """Describe a record of an earlier era that was read at a position."""
    era, offset = split_position(position)
    written_at = None if record.era is None else make_position(record.era, offset)
    return RestoredRecord(
        record=record, era=era, read_at=position, written_at=written_at
    )


def make_missing(era: int) -> RestoredRecord:
    """Describe an account of which a store that came back older has no record."""
    # Newer than all records of earlier eras, and older than those of this one.
    read_at = make_position(era, 0) - 1
    return RestoredRecord(
        record=AccountRecord(), era=era, read_at=read_at, written_at=NO_POSITION
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport:
    """Describe what one host knows of an account."""

    host: str
    incarnation: str
    knowledge: AccountKnowledge


@dataclass(frozen=True, kw_only=True, slots=True)
class LaterGrants:
    """Describe the grants of a home that are newer than a record."""

    host: str  # of the home
    drawn: int  # by the home, as of its latest grant
    used: int
    witnesses: Mapping[str, str]  # incarnations that received them, by host


def is_current(record: AccountRecord, position: int) -> bool:
    """Return whether a record was written since the store last came back older.

    Hosts of earlier builds write no era; such a record is current only while the store
    has never come back.
    """
    era, _ = split_position(position)
    return era == 0 if record.era is None else era == record.era


def find_newest(
    restored: RestoredRecord, reports: Collection[HostReport]
) -> tuple[int, AccountRecord]:
    """Return the newest known record of an account and its position.

    The position of a record without an era is unknown, and a host of an earlier build
    may have written it last. Only its holders are joined with what is known of them.
    """
    if restored.written_at is None:
        record = restored.record
        for report in reports:
            if report.knowledge.record is not None:
                record = join_records(record, report.knowledge.record)
        return NO_POSITION, replace_own_holders(record, reports)
    newest = (restored.written_at, restored.record)
    for report in reports:
        known = report.knowledge
        # A write that is done late may take a position that was given out again.
        if known.record is not None and known.position >= newest[0]:
            newest = (known.position, known.record)
    return newest


def join_records(stored: AccountRecord, known: AccountRecord) -> AccountRecord:
    """Return a record with the newer state of each holder that both name.

    A holder that only the known one names may be retired in the stored one.
    """
    for incarnation, holder in known.holders.items():
        found = stored.holders.get(incarnation)
        if found is not None:
            stored = stored.set_holder(incarnation, join_holders(found, holder))
    return stored


def join_holders(stored: Holder, known: Holder) -> Holder:
    """Return the newer state of an incarnation, with the higher draws of both.

    What either counts as drawn stays drawn: too much is corrected when its holder
    writes again or is retired, too little would be drawn twice. The rest is that of one
    state: a home that has ended can't write it again, and by an older roster, grants to
    hosts that only the newer one lists would not be counted.
    """
    drawn = max(stored.drawn, known.drawn)
    stored_order, known_order = get_order(stored, known), get_order(known, stored)
    if stored_order != known_order:
        newer = known if known_order > stored_order else stored
        return replace(newer, drawn=drawn)
    # Either may be the newer one: no host can account for what the home granted.
    roster = stored.roster if stored.roster == known.roster else UNKNOWN_ROSTER
    locked = min(stored.locked, known.locked)
    return replace(stored, drawn=drawn, roster=roster, locked=locked)


def get_order(holder: Holder, other: Holder) -> tuple[int, ...]:
    """Return what is higher of the newer one of two states of an incarnation.

    Without revisions, totals that never fall tell the order, unless they are equal.
    """
    if holder.revision and other.revision:
        return (holder.revision,)
    return (holder.used_by_former, holder.spent)


def replace_own_holders(
    record: AccountRecord, reports: Collection[HostReport]
) -> AccountRecord:
    """Return a record with the draws of each home that reported as it knows them."""
    for report in reports:
        known = report.knowledge.record
        own = known.holders.get(report.incarnation) if known else None
        if own is not None:
            record = record.set_holder(report.incarnation, own)
    return record


def update_spent(
    record: AccountRecord, reports: Collection[HostReport]
) -> AccountRecord:
    """Return a record with what the homes that reported say is spent.

    Where a budget is used up, its callers are told so only once that is known.
    """
    for report in reports:
        holder = record.holders.get(report.incarnation)
        if holder is not None and report.knowledge.spent > holder.spent:
            updated = replace(holder, spent=report.knowledge.spent)
            record = record.set_holder(report.incarnation, updated)
    return record


def find_later_grants(
    reports: Sequence[HostReport], position: int
) -> dict[str, LaterGrants]:
    """Return the grants of each home that rely on records after a position.

    Homes that reported themselves are left out, because the newest known record has
    all their draws.
    """
    heard = {report.incarnation for report in reports}
    found: dict[str, list[tuple[HostReport, HomeGrants]]] = {}
    for report in reports:
        for grants in report.knowledge.grants:
            if grants.position > position and grants.incarnation not in heard:
                found.setdefault(grants.incarnation, []).append((report, grants))
    return {home: join_grants(items) for home, items in found.items()}


def join_grants(items: Sequence[tuple[HostReport, HomeGrants]]) -> LaterGrants:
    """Return what several hosts received from one home."""
    latest = max((grants for _, grants in items), key=lambda item: item.position)
    return LaterGrants(
        host=latest.host,
        drawn=latest.drawn,
        used=sum(grants.used for _, grants in items),
        witnesses={report.host: report.incarnation for report, _ in items},
    )


def reconcile(
    record: AccountRecord,
    later: Mapping[str, LaterGrants],
    rosters: Mapping[str, Mapping[str, str] | None],
    *,
    adds_holders: bool,
) -> tuple[AccountRecord, list[dict[str, str]]]:
    """Return the newest known record with later draws, and the rosters it needs.

    `rosters` has the members of each roster that the record names, None if unknown. A
    home that the record does not name has joined after it, as a retired one would have
    made no later grants. Without `adds_holders`, the position of the record is unknown,
    and such homes are left out.
    """
    needed: list[dict[str, str]] = []
    for incarnation, grants in later.items():
        holder = record.holders.get(incarnation)
        if holder is None and not adds_holders:
            continue
        found = holder or Holder(host=grants.host, drawn=0, spent=0)
        members = extend_roster(rosters.get(found.roster), grants.witnesses)
        if members is not None:
            needed.append(members)
        raised = replace(
            found,
            drawn=max(found.drawn, grants.drawn, grants.used),
            # The home may have unlocked tokens with a later draw.
            locked=0,
            roster=UNKNOWN_ROSTER if members is None else get_roster_name(members),
        )
        record = record.set_holder(incarnation, raised)
    return record, needed


def extend_roster(
    members: Mapping[str, str] | None, witnesses: Mapping[str, str]
) -> dict[str, str] | None:
    """Return a roster that also lists later witnesses, None if nobody can name it.

    If a host has restarted, the home has counted what its former incarnation used in a
    record that is lost.
    """
    if members is None:
        return None
    if any(members.get(host, name) != name for host, name in witnesses.items()):
        return None
    return {**members, **witnesses}
