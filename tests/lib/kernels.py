"""Fake kernel and plug-in, to test one plug-in alone."""


class FakeKernel:
    """Registry of given plug-ins, through which they find each other.

    Parameters
    ----------
    settings : models.settings.Settings
        The daemon's settings.
    **plugins : object
        Plug-ins by name.
    """

    def __init__(self, settings, **plugins):
        self.settings = settings
        self.plugins = plugins

    def get(self, name):
        """Return the plug-in with the given name."""
        return self.plugins[name]


class NoOpPlugin:
    """Plug-in whose methods all return None."""

    def __getattr__(self, name):
        return lambda *args, **kwargs: None
