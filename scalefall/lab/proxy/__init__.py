"""A stand-in proxy: xDS on one side, calls on the other, and the contract that a proxy with grants keeps."""
