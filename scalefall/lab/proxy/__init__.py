"""A stand-in proxy: xDS on one side, calls on the other, and the contract of a proxy that holds grants."""
