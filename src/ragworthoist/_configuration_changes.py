"""Changes that operators make to the configuration document."""

import secrets

from ragworthoist._document import (
    MAX_HISTORY_CHANGES,
    Change,
    Document,
    parse_document,
    validate_document,
)
from ragworthoist._store_sync import configuration_key
from ragworthoist.exceptions import ConflictError, StoreUnavailableError

MAX_WRITE_ATTEMPTS = 5


async def read_document(store, fleet):
    """Return (document, revision) from the store; revision 0 if it has none."""
    found = await store.get(configuration_key(fleet))
    if found is None:
        return Document(), 0
    return parse_document(found.value), found.revision


async def change_document(store, fleet, edit, author, summary, base=None):
    """Edit the document in the store, unless another change is accepted first.

    Parameters
    ----------
    store : object
        The platform's store.
    fleet : str
        Name of the fleet.
    edit : callable
        Called with the document as a dict, which it changes in place.
    author, summary : str
        Author and description of the change, for the history.
    base : tuple, optional
        (document, revision) that the operator saw; by default they are read from the
        store.

    Returns
    -------
    Document
        The accepted document.

    Raises
    ------
    ConflictError
        If another change was accepted first.
    DocumentError
        If the edited document is invalid.
    StoreUnavailableError
        If the store did not answer, so that the change may have been accepted or not.
    """
    document, revision = base or await read_document(store, fleet)
    change = Change(
        version=document.version + 1,
        change_id=secrets.token_hex(8),
        author=author,
        summary=summary,
    )
    changed = _apply_edit(document, edit, change)
    raw = changed.model_dump_json().encode()
    if await _write_until_decided(store, fleet, raw, revision, change):
        return changed
    current, _ = await read_document(store, fleet)
    theirs = current.history[-1] if current.history else None
    raise ConflictError(_describe(change), _describe(theirs))


async def _write_until_decided(store, fleet, raw, revision, change):
    """Write `raw` and return whether it was accepted; retry while that is unknown.

    A write whose answer was lost may still take effect. It is known to be accepted
    once the history contains the change, and to be refused once another write has
    changed the revision.
    """
    key = configuration_key(fleet)
    for attempt in range(MAX_WRITE_ATTEMPTS):
        try:
            if await store.replace(key, raw, revision):
                return True
            current, current_revision = await read_document(store, fleet)
        except StoreUnavailableError:
            if attempt == MAX_WRITE_ATTEMPTS - 1:
                raise
            continue
        if any(c.change_id == change.change_id for c in current.history):
            return True
        if current_revision != revision:
            return False
    return False


def _apply_edit(document, edit, change):
    values = document.model_dump(mode="json")
    edit(values)
    values["version"] = change.version
    history = values["history"] + [change.model_dump()]
    values["history"] = history[-MAX_HISTORY_CHANGES:]
    return validate_document(values)


def _describe(change):
    if change is None:
        return "none"
    return f"version {change.version} by {change.author}: {change.summary}"
