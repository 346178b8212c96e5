"""Ownership of the fleet's background tasks: terms and leases, the tasks, and which member's feed a proxy reads.
Free of I/O, and independent of the consensus protocol."""
