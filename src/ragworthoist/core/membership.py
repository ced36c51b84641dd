"""Membership without a central list: probes, suspicion and piggybacked updates.

Every node probes one other node per interval, first directly and then through other
nodes, and attaches updates about members to the datagrams that it sends anyway. The
load per node is therefore constant, whatever the size of the fleet. Addresses of dead
nodes are remembered and probed at a low rate, so that the two sides of a network
partition merge again once it has healed.
"""

import math
from dataclasses import dataclass, replace

import xxhash

from ragworthoist.core.members import Member, MemberState, Message, MessageKind

PROBE_INTERVAL_SECONDS = 1.0
ACK_TIMEOUT_SECONDS = 0.3
SUSPICION_SECONDS = 4.0
# A longer time between two ticks counts as a pause of this process.
PAUSE_SECONDS = 2.0
DEAD_PROBE_INTERVAL_SECONDS = 3.0
DEAD_RETENTION_SECONDS = 6 * 3600.0
# A process that has ended is often restarted at the same address and may then have no
# other way to find the fleet. Its address is therefore probed often for a while, by a
# number of nodes that does not grow with the fleet.
RECENT_DEATH_SECONDS = 60.0
RECENT_PROBE_INTERVAL_SECONDS = 0.5
RECENT_PROBES = 8
SYNC_INTERVAL_SECONDS = 5.0
# Traffic between failure domains has to be paid for. Probes and exchanges there are
# only needed so that news spreads and a domain that is cut off is noticed.
OTHER_DOMAIN_SYNC_INTERVAL_SECONDS = 20.0
PROBES_PER_OTHER_DOMAIN_PROBE = 4
INDIRECT_PROBES = 3
UPDATES_PER_DATAGRAM = 6
TRANSMISSIONS_FACTOR = 3
# Records that come with a full exchange are not news: they have been spread before.
EXCHANGED_TRANSMISSIONS = 1
HINT_FANOUT = 3
# Distinguishes a heartbeat of a watcher from other hints.
WATCH_MARK = b"watch"
WATCHERS_PER_DOMAIN = 2


@dataclass(slots=True)
class _Probe:
    target: Member
    sequence: int
    started: float
    relayed: bool = False


@dataclass(slots=True)
class _Relay:
    requester: tuple
    sequence: int
    expires: float


class Membership:
    """Table of the members as seen by one node, and the probes that maintain it.

    Datagrams to send are returned as (message, address) pairs.

    Parameters
    ----------
    node : Member
        Record of the node itself.
    random : random.Random
        Source of the random choices of peers.
    now : float
        Present time in seconds.

    Attributes
    ----------
    configuration_version : int
        Version of the configuration in force on this node, set by the caller.
    version : int
        Raised when a member is added, or changes its state or whether it accepts calls.
    by_service : dict
        Lists of the members to which calls may be sent, by service.
    sync_peer : bytes or None
        Instance id of a peer whose table differs and should be exchanged in full. The
        caller resets it.
    newer_configuration_peer : bytes or None
        Instance id of a peer that has a newer configuration. The caller resets it.
    configuration_versions : dict
        Configuration version that each peer reported last, by instance id.
    departures : int
        How many members were seen to leave or to be lost.
    changed_members : list of Member
        Members that were added or whose state has changed. The caller clears it.
    paused_seconds : float
        Length of the last pause of this process, 0 if none. The caller resets it.
    is_suspicion_suspended : bool
        Whether missing answers are ignored, because this process was paused and no
        probe has been answered since.
    """

    def __init__(self, node, random, now):
        self.node = node
        self.configuration_version = 0
        self.version = 0
        self.members = {}
        self.by_service = {}
        self.sync_peer = None
        self.newer_configuration_peer = None
        self.configuration_versions = {}
        self.departures = 0
        self.changed_members = []
        self.paused_seconds = 0.0
        self.is_suspicion_suspended = False
        self._random = random
        self._transmissions = {}
        self._suspected = {}
        self._dead_since = {}
        self._probe = None
        self._order = []
        self._sequence = 0
        self._relays = {}
        self._last_tick = now
        self._next_probe = now
        self._next_dead_probe = now
        self._next_recent_probe = now
        self._next_sync = now
        self._next_far_sync = now
        self._digest = 0
        self._store(node, now)

    def tick(self, now):
        """Probe peers and expire suspicions as due; return datagrams to send."""
        out = []
        if now - self._last_tick > PAUSE_SECONDS:
            self.paused_seconds = now - self._last_tick
            self._recover_from_pause(now)
        self._last_tick = now
        self._expire_suspicions(now)
        self._advance_probe(now, out)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_SECONDS
            self._start_probe(now, out)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_INTERVAL_SECONDS
            self._probe_dead(now, out)
        if self._dead_since and now >= self._next_recent_probe:
            self._next_recent_probe = now + RECENT_PROBE_INTERVAL_SECONDS
            self._probe_recent(now, out)
        return out

    def receive(self, message, address, now):
        """Process one datagram; return datagrams to send."""
        out = []
        self.merge(message.updates, now)
        self._record_versions(message, now)
        if message.kind is MessageKind.PING:
            self._answer_ping(message, address, out)
        elif message.kind is MessageKind.ACK:
            self._accept_ack(message, now, out)
        elif message.kind is MessageKind.PING_REQUEST:
            self._relay_ping(message, address, now, out)
        elif message.kind is MessageKind.MISMATCH:
            self._accept_mismatch(message, now)
        return out

    def merge(self, members, now, sender=None):
        """Merge records of members from a datagram or a full exchange.

        `sender` is the instance id of the peer of an exchange, whose own record is
        news. In a datagram all records are.
        """
        for member in members:
            if self._merge_one(member, now) and sender not in (None, member.instance):
                self._transmissions[member.instance] = max(
                    0, self._transmission_limit - EXCHANGED_TRANSMISSIONS
                )

    def announce_leaving(self, now):
        """Mark this node as leaving; return datagrams that announce it."""
        return self._announce(now, state=MemberState.LEAVING)

    def set_accepting(self, accepting, now):
        """Set whether the server beside this node accepts calls.

        Returns
        -------
        list
            Datagrams that announce the change, empty without one.
        """
        if self.node.accepting == accepting:
            return []
        return self._announce(now, accepting=accepting)

    def announce_left(self, now):
        """Mark this node as gone for good; return datagrams that announce it."""
        return self._announce(now, state=MemberState.LEFT)

    def make_hints(self):
        """Return datagrams that notify a few nodes of a new configuration."""
        peers = self.peers()
        chosen = self._random.sample(peers, min(HINT_FANOUT, len(peers)))
        return [self._make_datagram(MessageKind.HINT, member) for member in chosen]

    def make_heartbeats(self):
        """Return datagrams that tell the failure domain that this node's watch works.

        They are hints with `WATCH_MARK`, which other builds read as plain hints.
        """
        marked = Message(
            MessageKind.HINT,
            self.node.instance,
            0,
            b"",
            self.configuration_version,
            self._digest,
            [self.node],
            [WATCH_MARK],
        )
        near, _ = self._split_by_domain(self.peers())
        return [(marked, member.address) for member in near]

    def is_heartbeat(self, message):
        """Return whether `message` is a heartbeat from this node's failure domain."""
        if message.kind is not MessageKind.HINT or message.relay != [WATCH_MARK]:
            return False
        sender = self.members.get(message.sender)
        return sender is not None and sender.domain == self.node.domain

    def make_pings(self, members):
        """Return pings to `members`, whose answers report their current state."""
        return [self._make_datagram(MessageKind.PING, member) for member in members]

    def peers(self):
        """Return the other members that are present."""
        own = self.node.instance
        return [m for m in self.members.values() if m.is_present and m.instance != own]

    def list_unseen(self):
        """Return the present members that have not sent anything to this node yet."""
        return [
            member
            for member in self.peers()
            if member.instance not in self.configuration_versions
        ]

    def snapshot(self):
        """Return records of all members, for a full exchange."""
        return [member.pack() for member in self.members.values()]

    def watchers(self):
        """Return the members chosen to watch the store, a few per failure domain."""
        by_domain = {}
        for member in self.members.values():
            if member.state <= MemberState.SUSPECT:
                by_domain.setdefault(member.domain, []).append(member)
        chosen = []
        for group in by_domain.values():
            group.sort(key=lambda m: xxhash.xxh3_64_intdigest(m.instance))
            chosen += group[:WATCHERS_PER_DOMAIN]
        return chosen

    @property
    def is_watcher(self):
        """Whether this node is chosen to watch the store."""
        own = self.node.instance
        return any(member.instance == own for member in self.watchers())

    def _announce(self, now, **changes):
        self.node = replace(self.node, incarnation=self.node.incarnation + 1, **changes)
        self._store(self.node, now)
        peers = self.peers()
        chosen = self._random.sample(peers, min(2 * HINT_FANOUT, len(peers)))
        return [self._make_datagram(MessageKind.PING, member) for member in chosen]

    def _recover_from_pause(self, now):
        # Answers that are missing because of the pause are no evidence against peers:
        # suspicions start over, and none is raised or expires before a probe has been
        # answered.
        self.is_suspicion_suspended = True
        self._probe = None
        for instance in self._suspected:
            self._suspected[instance] = now

    def _expire_suspicions(self, now):
        if self.is_suspicion_suspended:
            return
        for instance, since in list(self._suspected.items()):
            if now - since < SUSPICION_SECONDS:
                continue
            member = self.members.get(instance)
            self._suspected.pop(instance)
            if member is not None and member.state is MemberState.SUSPECT:
                self._store(replace(member, state=MemberState.DEAD), now)

    def _advance_probe(self, now, out):
        probe = self._probe
        if probe is None:
            return
        elapsed = now - probe.started
        if not probe.relayed and elapsed >= ACK_TIMEOUT_SECONDS:
            probe.relayed = True
            self._send_ping_requests(probe, out)
        elif elapsed >= PROBE_INTERVAL_SECONDS:
            self._probe = None
            self._suspect(probe.target.instance, now)

    def _send_ping_requests(self, probe, out):
        helpers = [m for m in self.peers() if m.instance != probe.target.instance]
        chosen = self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        relay = [probe.target.instance, probe.target.host, probe.target.port]
        for helper in chosen:
            out.append(
                self._make_datagram(
                    MessageKind.PING_REQUEST, helper, probe.sequence, relay=relay
                )
            )

    def _suspect(self, instance, now):
        member = self.members.get(instance)
        if member is None or self.is_suspicion_suspended:
            return
        if member.state is MemberState.ALIVE:
            self._store(replace(member, state=MemberState.SUSPECT), now)
        elif member.state is MemberState.LEAVING:
            self._store(replace(member, state=MemberState.DEAD), now)

    def _start_probe(self, now, out):
        if self._probe is not None:
            return
        target = self._next_target()
        if target is None:
            return
        self._sequence += 1
        self._probe = _Probe(target, self._sequence, now)
        out.append(self._make_datagram(MessageKind.PING, target, self._sequence))

    def _next_target(self):
        while self._order:
            member = self.members.get(self._order.pop())
            if member is not None and member.is_present and member != self.node:
                return member
        near, far = self._split_by_domain(self.peers())
        if near:
            # At least one, so that a small domain probes the others too.
            count = -(-len(near) // PROBES_PER_OTHER_DOMAIN_PROBE)
            far = self._random.sample(far, min(count, len(far)))
        self._order = [member.instance for member in near + far]
        self._random.shuffle(self._order)
        if not self._order:
            return None
        return self.members[self._order.pop()]

    def _split_by_domain(self, members):
        """Return the members of this node's failure domain, and the others."""
        own = self.node.domain
        near = [member for member in members if member.domain == own]
        return near, [member for member in members if member.domain != own]

    def _probe_dead(self, now, out):
        for instance, since in list(self._dead_since.items()):
            if now - since > DEAD_RETENTION_SECONDS:
                del self._dead_since[instance]
                self.members.pop(instance, None)
                self.configuration_versions.pop(instance, None)
        dead = [
            self.members[instance]
            for instance in self._dead_since
            if self.members[instance].state is MemberState.DEAD
        ]
        if dead:
            out.append(self._make_datagram(MessageKind.PING, self._random.choice(dead)))

    def _probe_recent(self, now, out):
        """Probe addresses where a process ended recently and none is known to run."""
        share = RECENT_PROBES / (len(self.members) + 1)
        occupied = {m.address for m in self.members.values() if m.is_present}
        probed = set()
        for instance, since in self._dead_since.items():
            member = self.members[instance]
            if (
                now - since > RECENT_DEATH_SECONDS
                or member.address in occupied | probed
            ):
                continue
            probed.add(member.address)
            if self._random.random() < share:
                message, address = self._make_datagram(MessageKind.PING, member)
                out.append((message, address))

    def _answer_ping(self, message, address, out):
        matches = message.target in (b"", self.node.instance)
        kind = MessageKind.ACK if matches else MessageKind.MISMATCH
        reply = self._make_message(kind, message.sender, message.sequence)
        if not matches:
            reply.relay = [message.target]
        out.append((reply, address))

    def _accept_ack(self, message, now, out):
        self.is_suspicion_suspended = False
        relay = self._relays.pop(message.sequence, None)
        if relay is not None and now < relay.expires:
            answer = self._make_message(MessageKind.ACK, b"", relay.sequence)
            out.append((answer, relay.requester))
        probe = self._probe
        if probe is not None and probe.sequence == message.sequence:
            self._probe = None

    def _accept_mismatch(self, message, now):
        # Another process answers at that address, so the probed one is gone.
        member = self.members.get(message.relay[0]) if message.relay else None
        if member is not None and member.is_present and member != self.node:
            self._store(replace(member, state=MemberState.DEAD), now)
        if self._probe is not None and self._probe.sequence == message.sequence:
            self._probe = None

    def _relay_ping(self, message, address, now, out):
        instance, host, port = message.relay
        self._sequence += 1
        self._relays[self._sequence] = _Relay(
            address, message.sequence, now + PROBE_INTERVAL_SECONDS
        )
        self._relays = {s: r for s, r in self._relays.items() if r.expires > now}
        ping = self._make_message(MessageKind.PING, instance, self._sequence)
        out.append((ping, (host, port)))

    def _merge_one(self, member, now):
        """Store `member` if it is newer than the known record; return whether it is."""
        if member.instance == self.node.instance:
            self._refute(member, now)
            return False
        if member.address == self.node.address and member.is_present:
            # A record of an earlier process at the address of this node.
            member = replace(member, state=MemberState.DEAD)
        known = self.members.get(member.instance)
        if known is not None and (member.incarnation, member.state) <= (
            known.incarnation,
            known.state,
        ):
            return False
        self._store(member, now)
        return True

    def _refute(self, member, now):
        current = (self.node.incarnation, self.node.state)
        if (member.incarnation, member.state) > current:
            self.node = replace(self.node, incarnation=member.incarnation + 1)
            self._store(self.node, now)

    def _record_versions(self, message, now):
        self.configuration_versions[message.sender] = message.configuration_version
        if message.configuration_version > self.configuration_version:
            self.newer_configuration_peer = message.sender
        sender = self.members.get(message.sender)
        if sender is None or message.digest == self._digest or self._transmissions:
            return
        if sender.domain != self.node.domain:
            if now < self._next_far_sync:
                return
            self._next_far_sync = now + OTHER_DOMAIN_SYNC_INTERVAL_SECONDS
        elif now < self._next_sync:
            return
        self._next_sync = now + SYNC_INTERVAL_SECONDS
        self.sync_peer = message.sender

    def _store(self, member, now):
        known = self.members.get(member.instance)
        if known is not None and known.state <= MemberState.SUSPECT < member.state:
            self.departures += 1
        self.members[member.instance] = member
        self._transmissions[member.instance] = 0
        self._digest ^= _digest_of(known) ^ _digest_of(member)
        if member.state is MemberState.SUSPECT:
            self._suspected.setdefault(member.instance, now)
        else:
            self._suspected.pop(member.instance, None)
        if member.is_present:
            self._dead_since.pop(member.instance, None)
        else:
            self._dead_since.setdefault(member.instance, now)
        if known is None or known.state != member.state:
            self.changed_members.append(member)
            self._rebuild_services()
        elif known.accepting != member.accepting:
            self._rebuild_services()

    def _rebuild_services(self):
        self.version += 1
        by_service = {}
        for member in self.members.values():
            if member.state <= MemberState.SUSPECT and member.accepting:
                by_service.setdefault(member.service, []).append(member)
        self.by_service = by_service

    def _make_datagram(self, kind, member, sequence=0, relay=()):
        message = self._make_message(kind, member.instance, sequence, list(relay))
        if member.state is not MemberState.ALIVE:
            # A node must receive a wrong record of itself to refute it.
            message.updates.insert(0, member)
        return message, member.address

    def _make_message(self, kind, target, sequence, relay=()):
        return Message(
            kind,
            self.node.instance,
            sequence,
            target,
            self.configuration_version,
            self._digest,
            # The receiver may hold an old record of this node.
            [self.node, *self._pick_updates()],
            list(relay),
        )

    @property
    def _transmission_limit(self):
        return TRANSMISSIONS_FACTOR * math.ceil(math.log2(len(self.members) + 2))

    def _pick_updates(self):
        queue = self._transmissions
        if not queue:
            return []
        limit = self._transmission_limit
        own = self.node.instance
        chosen = sorted(queue, key=queue.get)[:UPDATES_PER_DATAGRAM]
        for instance in chosen:
            queue[instance] += 1
            if queue[instance] >= limit:
                del queue[instance]
        return [self.members[i] for i in chosen if i in self.members and i != own]


def _digest_of(member):
    if member is None or not member.is_present:
        return 0
    seed = member.incarnation * 8 + int(member.state is MemberState.LEAVING)
    return xxhash.xxh3_64_intdigest(member.instance, seed=seed)
