"""threadhill: a steering proxy for caches that fill from parents and an origin."""

__version__ = "0.1.0"
