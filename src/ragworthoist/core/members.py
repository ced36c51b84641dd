"""Members of the fleet, and the messages that nodes exchange about them."""

import functools
import ipaddress
from dataclasses import dataclass
from enum import IntEnum

MAX_INSTANCE_BYTES = 64
MAX_NAME_LENGTH = 255
MAX_HOST_LENGTH = 64
MAX_INCARNATION = 2**62


class MemberState(IntEnum):
    """State of a member; of two records with the same incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class MessageKind(IntEnum):
    """Kinds of datagrams between nodes.

    A `PING` is answered by an `ACK`, or by a `MISMATCH` if it was meant for another
    process at the address. A `PING_REQUEST` asks its receiver to send a `PING` to a
    third node and to pass on the `ACK`. A `HINT` is not answered; it notifies its
    receiver of a new configuration version.
    """

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    MISMATCH = 3
    HINT = 4


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one node in the fleet.

    Attributes
    ----------
    instance : bytes
        Random id, new at each start of the process.
    domain : str
        Failure domain of the node.
    host, port : str, int
        Address for peers, the same for streams and datagrams.
    incarnation : int
        Version of the record, raised by the node itself at each change.
    accepting : bool
        Whether the backend server beside the node accepts calls.
    """

    instance: bytes
    service: str
    region: str
    domain: str
    host: str
    port: int
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    accepting: bool = True

    def pack(self):
        """Return the record as a list for the wire."""
        return [
            self.instance,
            self.service,
            self.region,
            self.domain,
            self.host,
            self.port,
            self.incarnation,
            int(self.state),
            self.accepting,
        ]

    @classmethod
    def unpack(cls, record):
        """Return the member from a list made by `pack`.

        Other writers may leave records in the store, and a record is passed on to all
        nodes, so every field is checked.

        Raises
        ------
        TypeError, ValueError, IndexError
            If `record` is not that of a member.
        """
        instance, service, region, domain, host, port, incarnation = record[:7]
        is_valid = (
            type(instance) is bytes
            and 0 < len(instance) <= MAX_INSTANCE_BYTES
            and all(_is_name(name) for name in (service, region, domain))
            and type(host) is str
            and len(host) <= MAX_HOST_LENGTH
            and _is_ip_address(host)
            and type(port) is int
            and 0 <= port < 2**16
            and type(incarnation) is int
            and 0 <= incarnation <= MAX_INCARNATION
        )
        if not is_valid:
            raise ValueError(f"record of a member out of range: {record!r:.200}")
        return cls(
            instance,
            service,
            region,
            domain,
            host,
            port,
            incarnation,
            MemberState(record[7]),
            bool(record[8]),
        )

    @property
    def address(self):
        """Address for streams and datagrams, as (host, port)."""
        return self.host, self.port

    @property
    def is_present(self):
        """Whether the node counts as a running member of the fleet."""
        return self.state < MemberState.DEAD


def unpack_members(records):
    """Return the members in `records`, and the errors of those that are malformed.

    Examples
    --------
    >>> unpack_members([[b"1", "shop", "r", "d", "10.0.0.1", 70_000, 0, 0, True]])[0]
    []
    """
    if not isinstance(records, list | tuple):
        return [], [TypeError(f"{type(records).__name__} instead of records")]
    members, errors = [], []
    for record in records:
        try:
            members.append(Member.unpack(record))
        except (TypeError, ValueError, IndexError) as error:
            errors.append(error)
    return members, errors


def _is_name(value):
    return type(value) is str and len(value) <= MAX_NAME_LENGTH


@functools.lru_cache(maxsize=4096)
def _is_ip_address(host):
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


@dataclass(slots=True)
class Message:
    """One datagram between nodes.

    Attributes
    ----------
    sender : bytes
        Instance id of the node that sends the message.
    sequence : int
        Number that the sender of a `PING` or a `PING_REQUEST` has chosen. The answer
        carries the same number.
    target : bytes
        Instance id that is expected at the address, empty for any.
    configuration_version : int
        Version of the configuration in force at the sender.
    digest : int
        Hash of the present members in the table of the sender, to detect tables that
        differ.
    updates : list of Member
        Records of members, including the sender's own.
    relay : list
        [instance, host, port] to probe in a `PING_REQUEST`; the [instance] that was
        expected in a `MISMATCH`; a mark in a `HINT` that is a heartbeat.
    """

    kind: MessageKind
    sender: bytes
    sequence: int
    target: bytes
    configuration_version: int
    digest: int
    updates: list
    relay: list

    def pack(self):
        """Return the message as a list for the wire."""
        updates = [member.pack() for member in self.updates]
        return [
            int(self.kind),
            self.sender,
            self.sequence,
            self.target,
            self.configuration_version,
            self.digest,
            updates,
            self.relay,
        ]

    @classmethod
    def unpack(cls, fields):
        """Return the message from a list made by `pack`."""
        kind, sender, sequence, target, version, digest, updates, relay = fields
        # Nodes of another build may pass on records that this one refuses.
        members, _ = unpack_members(updates)
        return cls(
            MessageKind(kind), sender, sequence, target, version, digest, members, relay
        )
