"""Stand-ins for the servers that a proxy talks to, and for its clients: for `threadhill dev`, tests and benchmarks."""
