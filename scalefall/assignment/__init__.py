"""Shard assignment: which sender process may use which destinations' limits, as decided and leased out by control."""
