"""The configuration that a node has in force.

A node adopts only higher versions, whoever offers them, so that a change that is
in force never reverts. What does not parse is refused and the last good document
stays.
"""

from dataclasses import dataclass
from enum import Enum

from ragworthoist._document import parse_document
from ragworthoist.core.policy import Policy


class Adoption(Enum):
    """What became of an offered document."""

    ADOPTED = "adopted"
    SAME = "same"
    OLDER = "older"


@dataclass(slots=True)
class ConfigurationTable:
    """The document in force, as received and compiled.

    Examples
    --------
    >>> from ragworthoist import Document
    >>> table = ConfigurationTable()
    >>> table.offer(Document(version=2).model_dump_json().encode())
    <Adoption.ADOPTED: 'adopted'>
    >>> table.offer(Document(version=1).model_dump_json().encode())
    <Adoption.OLDER: 'older'>
    >>> table.version
    2
    """

    raw: bytes = b""
    policy: Policy | None = None

    @property
    def version(self):
        """Version of the document in force, 0 before the first."""
        return 0 if self.policy is None else self.policy.version

    def offer(self, raw, now=None):
        """Adopt the document in `raw` if it is newer.

        Raises
        ------
        DocumentError
            If `raw` does not parse or breaks a rule; nothing changes then.
        """
        document = parse_document(raw)
        if self.policy is not None and document.version <= self.version:
            same = document.version == self.version
            return Adoption.SAME if same else Adoption.OLDER
        self.raw = raw
        self.policy = Policy(document, now)
        return Adoption.ADOPTED

    def refresh_exceptions(self, now):
        """Compile the document again, so that expired exceptions end."""
        if self.policy is not None:
            self.policy = Policy(self.policy.document, now)
