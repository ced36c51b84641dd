"""Registries of classes and functions that are selected by name."""

from ragworthoist.exceptions import RegistryError


class Registry:
    """Map names to classes or functions.

    Parameters
    ----------
    entry_type : str
        Description of the entries, used in errors.

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
        """Return a decorator that registers its subject under `name`."""

        def enter(subject):
            self._entries[name] = subject
            return subject

        return enter

    def get(self, name):
        """Return the entry registered under `name`.

        Raises
        ------
        RegistryError
            If `name` is not registered.
        """
        try:
            return self._entries[name]
        except KeyError:
            raise RegistryError(self.entry_type, name, self._entries) from None

    def names(self):
        """Return all registered names, sorted."""
        return sorted(self._entries)
