"""Stand-in partners: a limit, cold start with fall-over, drains, waits, and effects counted by id."""
