"""Registries that decorators fill."""

from geraniumridge._internal import exceptions


class Registry:
    """Named implementations of one varying behaviour.

    Parameters
    ----------
    item_kind : str
        What is registered, for error messages.
    """

    def __init__(self, item_kind):
        self._item_kind = item_kind
        self._items = {}

    @property
    def names(self):
        """Registered names, in order of registration."""
        return list(self._items)

    def register(self, name):
        """Return a decorator that adds its object under a name."""

        def add(item):
            if name in self._items:
                raise exceptions.GeraniumridgeError(
                    f"{self._item_kind} {name!r} is registered twice"
                )
            self._items[name] = item
            return item

        return add

    def get(self, name):
        """Return the object of a name."""
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(map(str, self._items))
            raise exceptions.GeraniumridgeError(
                f"no {self._item_kind} {name!r} (known: {known})"
            )

    def find(self, name):
        """Return the object of a name, or None."""
        return self._items.get(name)

    def items(self):
        """Yield pairs of name and object."""
        yield from self._items.items()


PLUGINS = Registry("plug-in")
