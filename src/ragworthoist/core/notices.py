"""What server processes have said of themselves, as callers keep it and pass it on.

The node beside a server learns it first-hand from answers, but loses it when it is
restarted, while its server goes on. Callers therefore keep what came with an answer and
send it back with their next calls.
"""

from dataclasses import dataclass

NOTICE_EXPIRY_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one server process has said of itself.

    Attributes
    ----------
    server : str
        Instance id of the server.
    server_start_ms : int
        Start time of the server process, 0 if it is not known.
    rate : float or None
        Requests a second that the server advertises, None for none.
    is_leaving : bool
        Whether the server is leaving.
    """

    server: str
    server_start_ms: int
    rate: float | None
    is_leaving: bool

    def pack(self):
        """Return the notice as a list for the wire."""
        return [self.server, self.server_start_ms, self.rate, self.is_leaving]

    @classmethod
    def unpack(cls, fields):
        """Return the notice from a list made by `pack`, or None from None.

        Raises
        ------
        TypeError, ValueError
            If `fields` are not those of a notice.
        """
        if fields is None:
            return None
        server, server_start_ms, rate, is_leaving, *_ = fields
        rate = None if rate is None else float(rate)
        return cls(str(server), int(server_start_ms), rate, bool(is_leaving))


class NoticeTable:
    """Notices that one caller has got, by the address of the node beside the server.

    The address stays the same when a node is restarted; its instance id does not.
    """

    def __init__(self):
        self._by_address = {}

    def __len__(self):
        return len(self._by_address)

    def update(self, address, notice, now):
        """Replace the notice of `address`; None removes it."""
        if notice is None:
            self._by_address.pop(address, None)
        else:
            self._by_address[address] = (now, notice)

    def get(self, address, now):
        """Return the notice of `address`, None if there is none or it has expired."""
        found = self._by_address.get(address)
        if found is None:
            return None
        updated_at, notice = found
        if now - updated_at > NOTICE_EXPIRY_SECONDS:
            del self._by_address[address]
            return None
        return notice
