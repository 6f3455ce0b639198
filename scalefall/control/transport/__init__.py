"""The I/O of the control service: gRPC streams, TLS certificates, files. It makes no decisions."""
