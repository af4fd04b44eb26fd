"""Registry of named implementations, filled by decorators."""

from geraniumridge._internal import exceptions


class Registry:
    """Implementations of one interface, by name.

    Parameters
    ----------
    item_kind : str
        Kind of the registered items, for error messages.
    """

    def __init__(self, item_kind):
        self._item_kind = item_kind
        self._items = {}

    @property
    def names(self):
        """Registered names, in order of registration."""
        return list(self._items)

    def register(self, name):
        """Return a decorator that registers its object under a name.

        Raises `exceptions.GeraniumridgeError` if the name is taken.
        """

        def add(item):
            if name in self._items:
                raise exceptions.GeraniumridgeError(
                    f"{self._item_kind} {name!r} is registered twice"
                )
            self._items[name] = item
            return item

        return add

    def get(self, name):
        """Return the object that is registered under a name.

        Raises `exceptions.GeraniumridgeError` if there is none.
        """
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(map(str, self._items))
            raise exceptions.GeraniumridgeError(
                f"no {self._item_kind} {name!r} (known: {known})"
            )

    def find(self, name):
        """Return the object that is registered under a name, or None."""
        return self._items.get(name)

    def items(self):
        """Yield the name and object of each registration, in order."""
        yield from self._items.items()


PLUGINS = Registry("plug-in")
"""Classes of plug-ins; they start in order of registration."""
