"""Registries that decorators fill, for behaviour that varies by name."""

from ragworthoist.exceptions import RegistryError


class Registry:
    """Map names to classes or functions.

    Parameters
    ----------
    entry_type : str
        What the entries are, used in errors.

    Examples
    --------
    >>> limits = Registry("limit")
    >>> @limits.register("none")
    ... class Unlimited:
    ...     pass
    >>> limits.get("none") is Unlimited
    True
    """

    def __init__(self, entry_type):
        self.entry_type = entry_type
        self._entries = {}

    def register(self, name):
        """Return a decorator that enters its subject under `name`."""

        def enter(subject):
            self._entries[name] = subject
            return subject

        return enter

    def get(self, name):
        """Return the entry called `name` or raise `RegistryError`."""
        try:
            return self._entries[name]
        except KeyError:
            raise RegistryError(self.entry_type, name, self._entries) from None

    def names(self):
        """Return all names in order."""
        return sorted(self._entries)
