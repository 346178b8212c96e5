"""Administration: an HTTP API for the tenants, and files that are planned and applied against it."""
