"""Everything of the control service that does I/O: gRPC streams, TLS certificates, files. It takes no decisions."""
