"""deckvale: the decisions of a request router for caches that fill from parents and an origin."""

from deckvale.choice import Router

__all__ = ["Router"]
