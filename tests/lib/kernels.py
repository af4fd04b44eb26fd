"""A kernel of scripted plug-ins, for plug-ins tested alone."""


class ScriptedKernel:
    """Hands out the plug-ins it was given.

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
        """Return the plug-in of a name."""
        return self.plugins[name]


class NoOpPlugin:
    """Answers every method call with nothing."""

    def __getattr__(self, name):
        return lambda *args, **kwargs: None
