"""Exception hierarchy of sassafrasway.

Every error has the step in which it occurred and the peer involved, so that log lines and error
responses can include both without parsing the message.
"""


class SassafraswayError(Exception):
    """Base class of the errors that sassafrasway defines.

    Attributes:
        step: What the process was doing, for example ``"config.apply"``.
        peer: The peer involved, as ``host:port`` or a name; empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = ""):
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        message = super().__str__()
        where = f"{self.step} with {self.peer}" if self.peer else self.step
        return f"{message} (in {where})"

    @property
    def message(self) -> str:
        """The message without step and peer."""
        return super().__str__()


class ValidationError(SassafraswayError):
    """Input from a caller, an operator or a settings file is invalid."""


class ConflictError(SassafraswayError):
    """A change is not based on the current revision, or not on the one the operator gave."""


class NotFoundError(SassafraswayError):
    """A named object does not exist."""


class UnavailableError(SassafraswayError):
    """A peer or external system did not respond, or necessary data is not known yet."""


class NotRunError(SassafraswayError):
    """The request was not dispatched and can no longer be dispatched."""


class OutcomeUnknownError(SassafraswayError):
    """The request was dispatched, but its result did not arrive."""


class InvariantViolation(SassafraswayError):
    """An internal invariant does not hold."""
