"""The hierarchy of errors that ragworthoist raises.

Every error keeps the values of its message as attributes, so that callers can
decide by type and attribute instead of by text.
"""


class RagworthoistError(Exception):
    """Base class of all errors raised by this package."""


class InputError(RagworthoistError):
    """A value in a file or document is invalid.

    Parameters
    ----------
    source : str
        The file or document that holds the value.
    key : str
        Dotted path of the value within the source.
    found : object
        The invalid value.
    allowed : str
        Description of valid values.
    """

    def __init__(self, source, key, found, allowed):
        self.source = source
        self.key = key
        self.found = found
        self.allowed = allowed
        super().__init__(f"{source}: {key}: found {found!r}, allowed: {allowed}")


class SettingsError(InputError):
    """The settings file of a process is invalid."""


class DocumentError(InputError):
    """The fleet-wide configuration document is invalid."""


class ConflictError(RagworthoistError):
    """Another operator changed the same configuration first.

    Parameters
    ----------
    ours, theirs : str
        Descriptions of the refused change and of the accepted change.
    """

    def __init__(self, ours, theirs):
        self.ours = ours
        self.theirs = theirs
        super().__init__(f"refused change: {ours}; change already in force: {theirs}")


class StoreError(RagworthoistError):
    """A call to the configuration store failed."""


class StoreUnavailableError(StoreError):
    """The store did not answer; the call may have taken effect.

    Parameters
    ----------
    operation : str
        Name of the call that failed.
    cause : str
        Error reported by the transport.
    """

    def __init__(self, operation, cause):
        self.operation = operation
        self.cause = cause
        super().__init__(f"store call {operation} got no answer: {cause}")


class StoreResponseError(StoreError):
    """The store answered with an unexpected status or an unreadable body."""

    def __init__(self, operation, status):
        self.operation = operation
        self.status = status
        super().__init__(f"store call {operation} answered with status {status}")


class HistoryGoneError(StoreError):
    """The store no longer has the history that a watch was to start from."""

    def __init__(self, revision):
        self.revision = revision
        super().__init__(f"the store's history after revision {revision} is gone")


class ProtocolError(RagworthoistError):
    """A peer violated the protocol between nodes."""


class FrameError(ProtocolError):
    """A frame on a peer stream is malformed or out of order."""

    def __init__(self, field, found):
        self.field = field
        self.found = found
        super().__init__(f"invalid frame field {field}: {found!r}")


class AuthenticationError(ProtocolError):
    """A peer or datagram failed to prove that it has the fleet key."""

    def __init__(self, peer):
        self.peer = peer
        super().__init__(f"peer {peer} failed to prove that it has the fleet key")


class RequestError(RagworthoistError):
    """An incoming HTTP request cannot be accepted."""


class BodyTooLargeError(RequestError):
    """The body of an HTTP message is longer than `limit` bytes."""

    def __init__(self, limit):
        self.limit = limit
        super().__init__(f"body is longer than {limit} bytes")


class CallerGoneError(RequestError):
    """The caller closed its connection before its request was complete."""

    def __init__(self):
        super().__init__("caller closed the connection before its request was complete")


class BodyCutError(RequestError):
    """A streamed body ended before it was complete."""

    def __init__(self):
        super().__init__("body ended before it was complete")


class ExchangeError(RagworthoistError):
    """An outgoing HTTP request got no usable response."""


class ConnectFailedError(ExchangeError):
    """No connection could be made, so nothing was sent.

    Parameters
    ----------
    address : str
        The address of the server, as host:port.
    cause : str
        Error reported by the transport.
    """

    def __init__(self, address, cause):
        self.address = address
        self.cause = cause
        super().__init__(f"cannot connect to {address}: {cause}")


class ConnectionLostError(ExchangeError):
    """The connection ended before the response; the request may have run."""

    def __init__(self, cause):
        self.cause = cause
        super().__init__(f"connection lost before the response: {cause}")


class GarbledResponseError(ExchangeError):
    """The response violates HTTP; the request may have run."""

    def __init__(self, cause):
        self.cause = cause
        super().__init__(f"response violates the protocol: {cause}")


class ReportError(RagworthoistError):
    """A report from a backend server about its state is malformed."""

    def __init__(self, field, found):
        self.field = field
        self.found = found
        super().__init__(f"invalid report field {field}: {found!r}")


class TicketError(RagworthoistError):
    """A one-time ticket cannot be used."""


class MalformedTicketError(TicketError):
    """The ticket cannot be decoded or was not issued by this fleet."""

    def __init__(self):
        super().__init__("ticket is malformed or was not issued by this fleet")


class ExpiredTicketError(TicketError):
    """The ticket has expired, or expires later than any valid ticket can.

    Parameters
    ----------
    expires, now : float
        Expiry of the ticket and current time, in seconds of the same clock.
    """

    def __init__(self, expires, now):
        self.expires = expires
        self.now = now
        super().__init__(
            f"ticket is not valid, in seconds: expires {expires:.3f}, now {now:.3f}"
        )


class RegistryError(RagworthoistError):
    """A name is not registered.

    Parameters
    ----------
    registry : str
        Description of the registry's entries.
    name : str
        The unknown name.
    known : iterable of str
        All registered names.
    """

    def __init__(self, registry, name, known):
        self.registry = registry
        self.name = name
        self.known = sorted(known)
        super().__init__(f"no {registry} named {name!r}; known: {self.known}")


class OperatorsError(RagworthoistError):
    """A command got no usable response from the operators' address of a node.

    It is raised also when nodes did not adopt a configuration in time.
    """

    def __init__(self, address, cause):
        self.address = address
        self.cause = cause
        super().__init__(f"operators' address {address}: {cause}")


class NotReadyError(RagworthoistError):
    """A node did not become ready to serve in time."""

    def __init__(self, missing):
        self.missing = missing
        super().__init__(f"node cannot serve yet, missing: {missing}")
