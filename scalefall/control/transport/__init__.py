"""Where control meets the network: protobuf, gRPC, certificates and files. Nothing here decides."""
