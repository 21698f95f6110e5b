"""Interface of the handlers that answer the requests to a server of the gateway."""

import abc

from sassafrasway_gateway import messages, model


class Handler(abc.ABC):
    """Base class of request handlers."""

    @abc.abstractmethod
    async def handle(self, request: messages.Request) -> messages.Response:
        """Returns the response.

        The call is cancelled when the client closes the connection or its sending side.
        """

    @property
    def limits(self) -> model.Limits:
        """Size and time limits for requests."""
        return model.Limits()

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether the request may run while others of its connection run.

        Such a request may be cancelled after it has started, and sent again by its client.
        """
        return False


def text_response(
    status: int, text: str = "", *, retry_after_s: float | None = None
) -> messages.Response:
    """Builds a plain text response, with a Retry-After header if ``retry_after_s`` is given.

    The header has fractions of a second, unlike the whole seconds of RFC 9110.
    """
    headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return messages.Response(status=status, headers=headers, body=text.encode())
