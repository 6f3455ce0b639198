"""Stand-in destinations: a limit, slow start with failure on overload, Retry-After, effects counted by message id."""
