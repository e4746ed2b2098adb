"""Records, errors, the clock and other modules shared by all packages."""
