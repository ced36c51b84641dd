"""Members of the fleet, and the messages in which nodes tell of them."""

from dataclasses import dataclass
from enum import IntEnum


class MemberState(IntEnum):
    """State of a member; of two records with one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


class MessageKind(IntEnum):
    """Kinds of datagrams."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    MISMATCH = 3
    HINT = 4


@dataclass(frozen=True, slots=True)
class Member:
    """One node as the fleet knows it.

    `instance` is drawn anew at each start of the process; `host` and `port` are
    its address for peers, the same for streams and datagrams. `accepting` tells
    whether the backend server beside the node takes calls.
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
        """Return the member in a list made by `pack`."""
        return cls(*record[:7], MemberState(record[7]), bool(record[8]))

    @property
    def address(self):
        """(host, port) for streams and datagrams."""
        return self.host, self.port

    @property
    def is_present(self):
        """Whether the node counts as a running part of the fleet."""
        return self.state < MemberState.DEAD


@dataclass(slots=True)
class Message:
    """One datagram between nodes."""

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
        """Return the message in a list made by `pack`."""
        kind, sender, sequence, target, version, digest, updates, relay = fields
        members = [Member.unpack(record) for record in updates]
        return cls(
            MessageKind(kind), sender, sequence, target, version, digest, members, relay
        )
