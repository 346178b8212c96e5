"""threadhill: the decisions of a request router for caches that fill from parents and an origin."""

from threadhill.choice import Router

__all__ = ["Router"]
