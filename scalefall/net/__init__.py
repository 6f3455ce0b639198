"""The sender on sockets: ingress, the loop around the engine, attempts, journal; greenlets over `select.poll`."""
