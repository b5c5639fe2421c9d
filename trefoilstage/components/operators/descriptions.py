"""Build the responses to operators from the state that this host knows."""

from trefoilstage.blackboard import Blackboard, TargetStatus
from trefoilstage.components.operators.models import (
    BudgetAnswer,
    FileAnswer,
    HostAnswer,
    StatusAnswer,
    StreamAnswer,
    TargetAnswer,
)
from trefoilstage.const import BUDGET_ACCOUNT_PREFIX
from trefoilstage.ledger.state import DrawStatus, LedgerState


def describe_status(blackboard: Blackboard, is_caught_up: bool) -> StatusAnswer:
    """Return the state of this host."""
    return StatusAnswer(
        host=blackboard.host,
        incarnation=blackboard.incarnation,
        data_center=blackboard.data_center,
        phase=blackboard.phase.value,
        revision=blackboard.config.revision,
        caught_up=is_caught_up,
        n_active=blackboard.n_active,
        streams=[
            StreamAnswer(
                name=name,
                reachable=status.reachable,
                caught_up=status.caught_up,
                next_offset=status.next_offset,
            )
            for name, status in sorted(blackboard.streams.items())
        ],
    )


def describe_hosts(blackboard: Blackboard) -> list[HostAnswer]:
    """Return the hosts of the fleet, sorted by name."""
    return [
        HostAnswer(
            host=entry.host,
            incarnation=entry.incarnation,
            data_center=entry.data_center,
            caller_url=entry.caller_url,
            operator_url=entry.operator_url,
            live=entry.host == blackboard.host or blackboard.is_peer_live(entry),
        )
        for _, entry in sorted(blackboard.config.hosts.items())
    ]


def describe_budgets(blackboard: Blackboard) -> list[BudgetAnswer]:
    """Return the budgets, sorted by name."""
    answers = []
    for _, ledger in sorted(blackboard.ledgers.items()):
        for name, account in ledger.accounts.items():
            if not name.startswith(BUDGET_ACCOUNT_PREFIX):
                continue
            open_spend = sum_open_spend(ledger, name)
            answers.append(
                BudgetAnswer(
                    name=name.removeprefix(BUDGET_ACCOUNT_PREFIX),
                    paid=account.paid,
                    spent=account.closed_spend - account.credit + open_spend,
                    held=account.held - open_spend,
                    free=account.free,
                    doubtful=sum_doubtful(ledger, name),
                )
            )
    return sorted(answers, key=lambda answer: answer.name)


def sum_open_spend(ledger: LedgerState, account: str) -> int:
    """Return the tokens that an account's current draws have spent so far."""
    return sum(draw.spent for draw in ledger.draws.values() if draw.account == account)


def sum_doubtful(ledger: LedgerState, account: str) -> int:
    """Return the tokens that lost holders may have spent without reporting them."""
    return sum(
        draw.charge - draw.spent
        for draw in ledger.draws.values()
        if draw.account == account and draw.status is DrawStatus.SEALED
    )


def describe_files(blackboard: Blackboard) -> list[FileAnswer]:
    """Return the files in force, in the order in which they are merged."""
    authors = {
        entry.offset: entry.author
        for entry in blackboard.config.history
        if entry.accepted
    }
    return [
        FileAnswer(
            name=name,
            revision=file.revision,
            author=authors.get(file.revision, ""),
            content=file.content,
        )
        for name, file in sorted(blackboard.config.files.items())
    ]


def describe_targets(blackboard: Blackboard) -> list[TargetAnswer]:
    """Return the targets, sorted by name."""
    answers = []
    for name, target in sorted(blackboard.configuration.targets.items()):
        status = blackboard.targets.get(name) or TargetStatus()
        answers.append(
            TargetAnswer(
                name=name,
                model=target.model,
                site=target.site,
                url=target.url,
                state=target.state.value,
                active=status.active,
                failures=status.failures,
            )
        )
    return answers
