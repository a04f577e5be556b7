"""Conversion of received HTTP requests into the parts of a call."""

from radishtray_transport import HeaderList, HttpRequest

_NOT_FORWARDED = frozenset(
    (
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"idempotency-key",
    )
)
_OWN_TEXT_PREFIX = "radishtray-"
_OWN_PREFIX = _OWN_TEXT_PREFIX.encode()


class CallTarget:
    """The service and path that a request names.

    Attributes:
        service: First path segment.
        path: Path below the service, without the query.
        path_and_query: The same with the query.
    """

    __slots__ = ("path", "path_and_query", "service")

    def __init__(self, service: str, path: str, query: str) -> None:
        """Holds the parts."""
        self.service = service
        self.path = path
        self.path_and_query = f"{path}?{query}" if query else path


def parse_target(uri: bytes) -> CallTarget | None:
    """Splits a request target `/<service>/<path>?<query>`.

    >>> parse_target(b"/taquilla/purchase?x=1").path_and_query
    '/purchase?x=1'
    >>> parse_target(b"taquilla") is None
    True

    Args:
        uri: Request target in origin form.

    Returns:
        The target, or None if there is no service or the text is not ASCII.
    """
    try:
        text = uri.decode("ascii")
    except UnicodeDecodeError:
        return None
    if not text.startswith("/"):
        return None
    path, _, query = text.partition("?")
    service, slash, rest = path[1:].partition("/")
    if not service:
        return None
    return CallTarget(service, f"/{rest}" if slash else "/", query)


def without_own_headers(headers: HeaderList) -> HeaderList:
    """Drops the headers of this system from an upstream's answer.

    An upstream may copy the refusal of a call that it made. Its own request
    ran, so that the copy would state `not_run` falsely.

    >>> without_own_headers(["Radishtray-Outcome", "not_run", "X", "y"])
    ['X', 'y']
    """
    names = headers[::2]
    if not any(name.lower().startswith(_OWN_TEXT_PREFIX) for name in names):
        return headers
    kept: HeaderList = []
    for name, value in zip(names, headers[1::2], strict=True):
        if not name.lower().startswith(_OWN_TEXT_PREFIX):
            kept += (name, value)
    return kept


def forwarded_headers(request: HttpRequest) -> HeaderList:
    """Returns the headers to pass on, names and values alternating.

    Hop-by-hop headers and all headers of this system are dropped, so that
    nothing from outside can set a class, a budget or a deadline.
    """
    headers: HeaderList = []
    for lowered, name, value in request.headers:
        if lowered in _NOT_FORWARDED or lowered.startswith(_OWN_PREFIX):
            continue
        headers += (name.decode("latin-1"), value.decode("latin-1"))
    return headers
