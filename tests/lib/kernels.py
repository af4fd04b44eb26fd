"""Kernel of fake plug-ins, to test one plug-in alone."""


class FakeKernel:
    """Kernel with the plug-ins it was given.

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
