"""Define the errors that cross module borders."""


class TrefoilstageError(Exception):
    """Base every error of the product."""


class MalformedMessageError(TrefoilstageError):
    """Report bytes that are no message of the expected kind."""


class NotReadyError(TrefoilstageError):
    """Report that the same call may succeed later."""


class StreamNotFollowedError(NotReadyError):
    """Report a stream that this host does not follow yet; nothing was sent."""


class LogUnavailableError(NotReadyError):
    """Report that the log gave no answer; the append may have taken effect."""


class RecordsExpiredError(TrefoilstageError):
    """Report that the log no longer keeps the offset asked for."""

    def __init__(self, *, earliest: int) -> None:
        super().__init__(f"records before offset {earliest} have expired")
        self.earliest = earliest


class UnsupportedVersionError(TrefoilstageError):
    """Report that a stream went over to a fold version this host does not know."""


class SequenceForgottenError(TrefoilstageError):
    """Report a state that has dropped this writer, so that it must start anew."""


class PeerUnavailableError(NotReadyError):
    """Report that a peer gave no answer; it may have acted all the same."""


class HostCrashedError(TrefoilstageError):
    """Report that a part of the host failed, so that the process must end."""


class SettingsError(TrefoilstageError):
    """Report every finding in a settings file at once."""
