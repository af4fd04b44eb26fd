"""Types of settings, configuration, statements and stored records."""
