"""Assignment of destinations to senders: shards, their placement on nodes, and leases on them. No I/O, no clock."""
