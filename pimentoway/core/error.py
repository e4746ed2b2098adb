"""The exceptions of the system, in one hierarchy by the outcome for a caller.

Every error names the failed step and the peer, so log lines and answers need
no further context.
"""

#: The default delay before a caller retries.
DEFAULT_RETRY_SECONDS = 1


class PimentowayError(Exception):
    """The base class of all errors of the system.

    Attributes:
        reason: A short message for people.
        step: The step that failed, such as ``connect``.
        peer: The name or address of the peer; '' if none is involved.
        code: A stable identifier for programs.
        status: The HTTP status for the caller.
        retry_after: Seconds until a retry may succeed; 0 if a retry does not
            help.
    """

    code = 'internal'
    status = 500
    default_retry: float = 0

    def __init__(
        self,
        reason: str,
        step: str = '',
        peer: str = '',
        retry_after: float = 0,
    ) -> None:
        """Store the reason and its context.

        Args:
            reason: A short message for people.
            step: The step that failed.
            peer: The name or address of the peer.
            retry_after: Seconds until a retry may succeed; 0 for the default
                of the class.
        """
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer
        self.retry_after = retry_after or self.default_retry

    def __str__(self) -> str:
        """Format the error with its step and peer.

        Returns:
            A single line.
        """
        context = ' '.join(word for word in (self.step, self.peer) if word)
        return f'{self.reason} ({context})' if context else self.reason


class SettingError(PimentowayError):
    """Settings or declarations are invalid; the reason lists every error."""

    code = 'invalid_settings'


class RequestError(PimentowayError):
    """The caller's request is invalid and was not run."""

    code = 'invalid_request'
    status = 400


class UnauthorizedError(RequestError):
    """The key is missing or unknown."""

    code = 'invalid_api_key'
    status = 401


class UnknownServiceError(RequestError):
    """The request names a model or service that is not configured."""

    code = 'model_not_found'
    status = 404


class BodyTooLargeError(RequestError):
    """The body is larger than the service accepts."""

    code = 'body_too_large'
    status = 413


class KeyReusedError(RequestError):
    """An idempotency key was reused for a different request."""

    code = 'idempotency_key_reused'
    status = 422


class AlreadyFinishedError(RequestError):
    """The request ran before, but its answer was too large to be stored."""

    code = 'already_finished'
    status = 409


class NotRunError(PimentowayError):
    """The request certainly was not run, so it may be sent again."""

    code = 'not_run'
    status = 503
    default_retry = DEFAULT_RETRY_SECONDS


class OverloadedError(NotRunError):
    """The request was shed: a queue is full or its deadline can't be met."""

    code = 'overloaded'
    status = 429


class ExpiredError(NotRunError):
    """The deadline expired while the request was queued."""

    code = 'deadline_expired'


class NoBackendError(NotRunError):
    """No back end is available for the request."""

    code = 'no_backend'


class QuarantinedError(NotRunError):
    """The request is suspected of crashing back ends."""

    code = 'quarantined'


class ConfigurationMissingError(NotRunError):
    """The node has no configuration yet."""

    code = 'no_configuration'


class ClaimUnavailableError(NotRunError):
    """The claim of an unrepeatable request could not be stored."""

    code = 'claim_unavailable'


class ShutdownError(NotRunError):
    """The node is shutting down and takes no new work."""

    code = 'shutting_down'


class InternalError(NotRunError):
    """An error of an unexpected type.

    Whether the request was run depends on where it was raised: whoever turns
    it into an answer has to check that the request was not sent yet.
    """

    code = 'internal'


class FailedError(PimentowayError):
    """The back end reported that the request failed."""

    code = 'failed'
    status = 502


class OutcomeUnknownError(PimentowayError):
    """Bytes of the request were sent, but no complete answer was received."""

    code = 'outcome_unknown'
    status = 504


class PeerError(PimentowayError):
    """A call to a back end or another peer failed."""

    code = 'peer'


class ConnectError(PeerError):
    """Connecting failed, so no byte of the request was sent."""


class ConnectionLostError(PeerError):
    """The connection failed after bytes of the request may have been sent."""


class RunLostError(PeerError):
    """The back end does not know the run to resume."""


class PlatformError(PimentowayError):
    """A call to the platform failed."""

    code = 'platform'


class PlatformUnavailableError(PlatformError):
    """The call did not reach the platform or was not accepted."""


class PlatformAmbiguousError(PlatformError):
    """The answer was lost: a write may or may not have taken effect."""


class PlatformConflictError(PlatformError):
    """Another writer has changed the object since it was read."""


class PlatformRefusedError(PlatformError):
    """The platform rejected the call as invalid."""


class WatchExpiredError(PlatformError):
    """The platform no longer has the events after the requested revision."""


class NodeError(PimentowayError):
    """A call to another node failed."""

    code = 'node'
