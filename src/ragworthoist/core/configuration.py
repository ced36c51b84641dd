"""The configuration in force on a node.

A node adopts only documents with a higher version, from whatever source, so that a
change that is in force never reverts. A document that does not parse is refused, and
the last valid one stays in force.
"""

from dataclasses import dataclass, field
from enum import Enum

from ragworthoist._document import parse_document
from ragworthoist.core.policy import Policy


class Adoption(Enum):
    """Result of offering a document."""

    ADOPTED = "adopted"
    SAME = "same"
    OLDER = "older"


def compile_document(raw, now=None):
    """Return the `Policy` of `raw`, a document in the product's own format.

    `now` is a datetime, as for `Policy`.
    """
    return Policy(parse_document(raw), now)


@dataclass(slots=True)
class ConfigurationTable:
    """The document in force, as received and compiled.

    `compile` turns raw bytes into a policy with a `version`. Each edge supplies the
    function for the format that it reads. `refusals` is the number of invalid documents
    so far, and `last_refusal` says what was wrong with the latest one; it is empty
    again once a newer document is in force.

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
    policy: object = None
    refusals: int = 0
    last_refusal: str = ""
    compile: object = field(default=compile_document, repr=False)

    @property
    def version(self):
        """Version of the document in force, 0 before the first."""
        return 0 if self.policy is None else self.policy.version

    def offer(self, raw, now=None):
        """Adopt the document in `raw` if it is newer; return the `Adoption`.

        `now` is passed on to `compile`.

        Raises
        ------
        DocumentError
            If `raw` does not parse or breaks a rule. The document in force stays.
        """
        policy = self.compile(raw, now)
        if self.policy is not None and policy.version <= self.version:
            same = policy.version == self.version
            return Adoption.SAME if same else Adoption.OLDER
        self.raw = raw
        self.policy = policy
        self.last_refusal = ""
        return Adoption.ADOPTED

    def record_refusal(self, error):
        """Count an invalid document; `error` says what is wrong with it."""
        self.refusals += 1
        self.last_refusal = error

    def refresh_exceptions(self, now):
        """Compile the document again, so that expired exceptions no longer apply.

        `now` is a datetime, as for `Policy`.
        """
        if self.policy is not None:
            self.policy = Policy(self.policy.document, now)
