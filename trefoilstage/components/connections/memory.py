"""Share a process's memory for clients among their connections; pure."""

from collections.abc import Callable

from trefoilstage.exceptions import TrefoilstageError

# Of the limit: an account that is no larger is worth closing other connections.
SMALL_SHARE = 1 / 16


class MemoryLimitError(TrefoilstageError):
    """Raised when an account may not hold as many bytes as it needs."""


class MemoryBudget:
    """Limit the bytes that a process holds for all clients together.

    An account may hold as much as it leaves free. Clients that take all they can are
    thus stopped before the limit is reached, and there is always room for a small
    request. If slow clients of long answers have left too little, `make_room` may
    release what is held for other accounts.
    """

    def __init__(
        self,
        *,
        max_bytes: int,
        make_room: "Callable[[MemoryAccount, int], None] | None" = None,
    ) -> None:
        self._max_bytes = max_bytes
        self._make_room = make_room
        self.n_bytes = 0  # of all accounts

    def may_hold(self, account_bytes: int, n_more_bytes: int) -> bool:
        """Return whether an account of a given size may hold more bytes."""
        free_bytes = self._max_bytes - self.n_bytes - n_more_bytes
        return account_bytes + n_more_bytes <= free_bytes

    def make_room(self, account: "MemoryAccount", n_more_bytes: int) -> None:
        """Release what other accounts hold, if that is worth it."""
        is_small = account.n_bytes + n_more_bytes <= SMALL_SHARE * self._max_bytes
        if is_small and self._make_room is not None:
            self._make_room(account, n_more_bytes)


class MemoryAccount:
    """Count the bytes that a process holds for one client."""

    def __init__(self, *, budget: MemoryBudget) -> None:
        self._budget = budget
        self._is_closed = False
        self.n_bytes = 0

    def may_grow(self, n_bytes: int) -> bool:
        """Return whether the account may hold `n_bytes` more."""
        return not self._is_closed and self._budget.may_hold(self.n_bytes, n_bytes)

    def grow(self, n_bytes: int) -> None:
        """Add bytes; raise MemoryLimitError if they may not be held."""
        if not self.may_grow(n_bytes):
            self._make_room(n_bytes)
        self.n_bytes += n_bytes
        self._budget.n_bytes += n_bytes

    def _make_room(self, n_bytes: int) -> None:
        if not self._is_closed:
            self._budget.make_room(self, n_bytes)
        if not self.may_grow(n_bytes):
            raise MemoryLimitError(
                f"{n_bytes} bytes do not fit beside {self.n_bytes} of the same client "
                f"and {self._budget.n_bytes} of all clients"
            )

    def shrink(self, n_bytes: int) -> None:
        """Subtract bytes that were released."""
        if not self._is_closed:
            self.n_bytes -= n_bytes
            self._budget.n_bytes -= n_bytes

    def close(self) -> None:
        """Release all bytes; the account takes no more."""
        self.shrink(self.n_bytes)
        self._is_closed = True


class MemoryPart:
    """Count the bytes of one use of an account, such as one answer."""

    def __init__(self, *, account: MemoryAccount) -> None:
        self._account = account
        self.n_bytes = 0

    def may_grow(self, n_bytes: int) -> bool:
        """Return whether the part may hold `n_bytes` more."""
        return self._account.may_grow(n_bytes)

    def resize(self, n_bytes: int) -> None:
        """Set the size; raise MemoryLimitError if so much may not be held."""
        if n_bytes > self.n_bytes:
            self._account.grow(n_bytes - self.n_bytes)
        else:
            self._account.shrink(self.n_bytes - n_bytes)
        self.n_bytes = n_bytes

    def release(self) -> None:
        """Release all bytes."""
        self.resize(0)

    def __enter__(self) -> "MemoryPart":
        return self

    def __exit__(self, *_: object) -> None:
        self.release()
