"""The exceptions of the system, one tree with the final answers as branches.

Every error carries the step at which it arose and the peer concerned, so a
log line or an answer needs no further context.
"""

#: Seconds after which a caller may come back when nothing better is known.
DEFAULT_RETRY_SECONDS = 1


class PimentowayError(Exception):
    """The root of all errors of the system.

    Attributes:
        reason: A short sentence for people.
        step: The step at which the error arose, such as ``connect``.
        peer: The name or address of the peer concerned.
        code: A stable identifier for programs.
        status: The HTTP status for the caller.
        retry_after: Seconds after which coming back helps; 0 if it does not.
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
        """Keep the reason, the step and the peer.

        Args:
            reason: A short sentence for people.
            step: The step at which the error arose.
            peer: The name or address of the peer concerned.
            retry_after: Seconds after which coming back helps.
        """
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer
        self.retry_after = retry_after or self.default_retry

    def __str__(self) -> str:
        """Render the error with its step and peer.

        Returns:
            One line of text.
        """
        context = ' '.join(word for word in (self.step, self.peer) if word)
        return f'{self.reason} ({context})' if context else self.reason


class SettingError(PimentowayError):
    """Settings or declarations are wrong; the reason lists every fault."""

    code = 'invalid_settings'


class RequestError(PimentowayError):
    """The caller's request is wrong and was not run."""

    code = 'invalid_request'
    status = 400


class UnauthorizedError(RequestError):
    """The key identifies no caller."""

    code = 'invalid_api_key'
    status = 401


class UnknownServiceError(RequestError):
    """The request names a model or service that is not configured."""

    code = 'model_not_found'
    status = 404


class BodyTooLargeError(RequestError):
    """The body is larger than the service admits."""

    code = 'body_too_large'
    status = 413


class KeyReusedError(RequestError):
    """An idempotency key came back with a different request."""

    code = 'idempotency_key_reused'
    status = 422


class AlreadyFinishedError(RequestError):
    """The request ran before; its answer was too large to be kept."""

    code = 'already_finished'
    status = 409


class NotRunError(PimentowayError):
    """The request was not run; this is proved, so it may be sent again."""

    code = 'not_run'
    status = 503
    default_retry = DEFAULT_RETRY_SECONDS


class OverloadedError(NotRunError):
    """The request was shed: queues are full or its deadline can't be met."""

    code = 'overloaded'
    status = 429


class ExpiredError(NotRunError):
    """The deadline came while the request waited."""

    code = 'deadline_expired'


class NoPeerError(NotRunError):
    """No back end is open for the request."""

    code = 'no_backend'


class QuarantinedError(NotRunError):
    """The request is suspected of crashing back ends."""

    code = 'quarantined'


class ConfigurationMissingError(NotRunError):
    """The node has no configuration yet."""

    code = 'no_configuration'


class ClaimUnavailableError(NotRunError):
    """The platform could not record the claim of an unrepeatable request."""

    code = 'claim_unavailable'


class ShutdownError(NotRunError):
    """The node is shutting down and takes no new work."""

    code = 'shutting_down'


class FailedError(PimentowayError):
    """The back end reported that the request failed."""

    code = 'failed'
    status = 502


class OutcomeUnknownError(PimentowayError):
    """Bytes reached a back end and no whole answer came back."""

    code = 'outcome_unknown'
    status = 504


class PeerError(PimentowayError):
    """A back end or another peer did not behave."""

    code = 'peer'


class ConnectError(PeerError):
    """No connection was made: not a byte of the request left this process."""


class CutError(PeerError):
    """The connection broke after bytes of the request had been sent."""


class RunLostError(PeerError):
    """The back end does not know the run that should be resumed."""


class PlatformError(PimentowayError):
    """A call to the platform did not succeed."""

    code = 'platform'


class PlatformUnavailableError(PlatformError):
    """The call never reached the platform, or it refused to take it."""


class PlatformAmbiguousError(PlatformError):
    """The answer was lost: a write may or may not have taken effect."""


class PlatformConflictError(PlatformError):
    """Another writer came first; the object has a newer version."""


class PlatformRefusedError(PlatformError):
    """The platform refused the call as invalid."""


class WatchExpiredError(PlatformError):
    """The platform no longer keeps the events after the asked revision."""


class NodeError(PimentowayError):
    """A call to another node did not succeed."""

    code = 'node'
