"""All errors that ragworthoist raises, as one tree.

Every error carries its facts as attributes and builds its message from them, so
that callers can act on a type and a field instead of on text.
"""


class RagworthoistError(Exception):
    """Base of every error raised by this package."""


class InputError(RagworthoistError):
    """A value from outside breaks a rule.

    Parameters
    ----------
    source : str
        The file or document that holds the value.
    key : str
        Dotted path of the value inside the source.
    found : object
        The value that was found.
    allowed : str
        What would have been accepted.
    """

    def __init__(self, source, key, found, allowed):
        self.source = source
        self.key = key
        self.found = found
        self.allowed = allowed
        super().__init__(f"{source}: {key}: found {found!r}, allowed: {allowed}")


class SettingsError(InputError):
    """The settings file of a process breaks a rule."""


class DocumentError(InputError):
    """The fleet-wide configuration document breaks a rule."""


class ConflictError(RagworthoistError):
    """Another operator changed the same configuration first.

    Parameters
    ----------
    ours, theirs : str
        Descriptions of the refused change and of the change that won.
    """

    def __init__(self, ours, theirs):
        self.ours = ours
        self.theirs = theirs
        super().__init__(f"refused change: {ours}; change already in force: {theirs}")


class StoreError(RagworthoistError):
    """The configuration store could not serve a call."""


class StoreUnavailableError(StoreError):
    """The store did not answer; the call may have taken effect.

    Parameters
    ----------
    operation : str
        Name of the call that failed.
    cause : str
        What the transport reported.
    """

    def __init__(self, operation, cause):
        self.operation = operation
        self.cause = cause
        super().__init__(f"store call {operation} got no answer: {cause}")


class StoreResponseError(StoreError):
    """The store answered with something that its protocol does not allow."""

    def __init__(self, operation, status):
        self.operation = operation
        self.status = status
        super().__init__(f"store call {operation} answered with status {status}")


class HistoryGoneError(StoreError):
    """The store no longer holds the history that a watch asked for."""

    def __init__(self, revision):
        self.revision = revision
        super().__init__(f"the store's history after revision {revision} is gone")


class ProtocolError(RagworthoistError):
    """A peer sent something that the protocol between nodes does not allow."""


class FrameError(ProtocolError):
    """A frame on a peer stream is malformed or out of order."""

    def __init__(self, field, found):
        self.field = field
        self.found = found
        super().__init__(f"frame field {field}: found {found!r}")


class AuthenticationError(ProtocolError):
    """A peer or datagram does not prove that it holds the fleet key."""

    def __init__(self, peer):
        self.peer = peer
        super().__init__(f"peer {peer} does not hold the fleet key")


class RequestError(RagworthoistError):
    """A request over HTTP cannot be taken in."""


class BodyTooLargeError(RequestError):
    """The body of a request is longer than `limit` bytes."""

    def __init__(self, limit):
        self.limit = limit
        super().__init__(f"body is longer than {limit} bytes")


class CallerGoneError(RequestError):
    """The caller closed its connection before its request was complete."""

    def __init__(self):
        super().__init__("the caller left before its request was complete")


class BodyCutError(RequestError):
    """A body that is being streamed ended before it was complete."""

    def __init__(self):
        super().__init__("the body ended before it was complete")


class ExchangeError(RagworthoistError):
    """A request over HTTP got no usable answer."""


class ConnectFailedError(ExchangeError):
    """No connection could be made, so nothing was sent.

    Parameters
    ----------
    address : str
        Where the connection was to go.
    cause : str
        What the transport reported.
    """

    def __init__(self, address, cause):
        self.address = address
        self.cause = cause
        super().__init__(f"no connection to {address}: {cause}")


class ConnectionLostError(ExchangeError):
    """The connection ended before the answer; the request may have run."""

    def __init__(self, cause):
        self.cause = cause
        super().__init__(f"connection lost before the answer: {cause}")


class GarbledResponseError(ExchangeError):
    """The answer breaks the protocol; the request may have run."""

    def __init__(self, cause):
        self.cause = cause
        super().__init__(f"answer breaks the protocol: {cause}")


class ReportError(RagworthoistError):
    """A report of a backend server about itself cannot be read."""

    def __init__(self, field, found):
        self.field = field
        self.found = found
        super().__init__(f"report field {field}: found {found!r}")


class TicketError(RagworthoistError):
    """A one-time ticket cannot be used."""


class MalformedTicketError(TicketError):
    """The ticket does not parse or was not issued by this fleet."""

    def __init__(self):
        super().__init__("ticket is malformed or was not issued by this fleet")


class ExpiredTicketError(TicketError):
    """The ticket expired, or it lives longer than any ticket may."""

    def __init__(self, expires, now):
        self.expires = expires
        self.now = now
        super().__init__(f"ticket expired at {expires:.3f}, it is {now:.3f}")


class RegistryError(RagworthoistError):
    """A name is not in a registry.

    Parameters
    ----------
    registry : str
        What the registry holds.
    name : str
        The name that was asked for.
    known : iterable of str
        The names that exist.
    """

    def __init__(self, registry, name, known):
        self.registry = registry
        self.name = name
        self.known = sorted(known)
        super().__init__(f"no {registry} named {name!r}; known: {self.known}")


class OperatorsError(RagworthoistError):
    """The operators' address of a node refused a command or did not answer."""

    def __init__(self, address, cause):
        self.address = address
        self.cause = cause
        super().__init__(f"operators' address {address}: {cause}")


class NotReadyError(RagworthoistError):
    """A node could not reach the state it needs to serve."""

    def __init__(self, missing):
        self.missing = missing
        super().__init__(f"node cannot serve yet, missing: {missing}")
