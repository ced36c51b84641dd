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
    """Return (document, revision) as the store holds them."""
    found = await store.get(configuration_key(fleet))
    if found is None:
        return Document(), 0
    return parse_document(found.value), found.revision


async def change_document(store, fleet, edit, author, summary, base=None):
    """Write the document that `edit` makes of the current one.

    Parameters
    ----------
    edit : callable
        Takes the document as plain values and changes them in place.
    author, summary : str
        Who makes the change, and what it is, for the history.
    base : tuple, optional
        (document, revision) that the operator saw; read now by default.

    Returns
    -------
    Document
        The accepted document.

    Raises
    ------
    ConflictError
        If another change was accepted first.
    DocumentError
        If the result breaks a rule.
    StoreUnavailableError
        If the store does not say whether the change was accepted.
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
    """Return whether `raw` was accepted; ask again while that is open.

    A write whose answer was lost may still take effect, so it is settled only
    once the history names the change or another write has moved the revision.
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
