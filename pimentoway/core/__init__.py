"""Records, errors and the clock: the data that all other packages share."""
