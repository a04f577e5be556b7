"""Parsing of request targets and filtering of headers."""

from radishtray_transport import HeaderList, HttpRequest

# Hop-by-hop headers, and headers that the node sets itself.
_UNFORWARDED_HEADERS = frozenset(
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
_RADISHTRAY_PREFIX = "radishtray-"
_RADISHTRAY_PREFIX_BYTES = _RADISHTRAY_PREFIX.encode()


class CallTarget:
    """Service and path from the request target of an HTTP request.

    Attributes:
        service: Name of the service, the first path segment.
        path: Path after the first segment, without the query.
        path_and_query: Path after the first segment, with the query.
    """

    __slots__ = ("path", "path_and_query", "service")

    def __init__(self, service: str, path: str, query: str) -> None:
        """Creates a target; an empty query is left out."""
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
        The target, or None if it names no service or is not ASCII.
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


def strip_radishtray_headers(headers: HeaderList) -> HeaderList:
    """Drops the `Radishtray-` headers from an upstream's answer.

    An upstream may copy the headers of a refusal that a call of its own got.
    The upstream did run the request, so a copied `not_run` would be false.

    >>> strip_radishtray_headers(["Radishtray-Outcome", "not_run", "X", "y"])
    ['X', 'y']
    """
    names = headers[::2]
    if not any(name.lower().startswith(_RADISHTRAY_PREFIX) for name in names):
        return headers
    kept: HeaderList = []
    for name, value in zip(names, headers[1::2], strict=True):
        if not name.lower().startswith(_RADISHTRAY_PREFIX):
            kept += (name, value)
    return kept


def forwarded_headers(request: HttpRequest) -> HeaderList:
    """Returns the headers to forward, names and values alternating.

    Hop-by-hop and `Radishtray-` headers are dropped, so that an outside
    client cannot set a class, a retry budget or a deadline.
    """
    headers: HeaderList = []
    for lower_name, name, value in request.headers:
        if lower_name in _UNFORWARDED_HEADERS or lower_name.startswith(
            _RADISHTRAY_PREFIX_BYTES
        ):
            continue
        headers += (name.decode("latin-1"), value.decode("latin-1"))
    return headers
