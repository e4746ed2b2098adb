"""The users' platform, translated: settings, store and headers."""
