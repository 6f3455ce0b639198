"""Units of the package: times are whole microseconds."""

SECOND = 1_000_000  # microseconds
