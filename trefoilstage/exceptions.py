"""Define exceptions that are raised in one module and handled in another."""


class TrefoilstageError(Exception):
    """Serve as the base class of the package's exceptions."""


class MalformedMessageError(TrefoilstageError):
    """Report bytes that are not a valid message of the expected kind."""


class NotReadyError(TrefoilstageError):
    """Report a failure after which the same call may succeed later."""


class StreamNotFollowedError(NotReadyError):
    """Report a stream that this host does not follow yet; nothing was sent."""


class LogUnavailableError(NotReadyError):
    """Report that the log did not respond; an append may have taken effect."""


class RecordsExpiredError(TrefoilstageError):
    """Report that the log no longer has the record at the requested offset."""

    def __init__(self, *, earliest: int) -> None:
        super().__init__(f"records before offset {earliest} have expired")
        self.earliest = earliest


class UnsupportedVersionError(TrefoilstageError):
    """Report a stream upgraded to a fold version that this host does not support."""


class SequenceForgottenError(TrefoilstageError):
    """Report that the fold no longer knows this writer, which must restart."""


class PeerUnavailableError(NotReadyError):
    """Report that a peer did not reply; it may still have processed the call."""


class MessageNotSentError(TrefoilstageError):
    """Report that a message to a peer was not sent."""


class HostCrashedError(TrefoilstageError):
    """Report that a component of the host failed, so that the process must exit."""


class SettingsError(TrefoilstageError):
    """List all validation errors of a settings file."""
