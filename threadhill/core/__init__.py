"""The core: requests, attempts and deadlines round one Router. It knows no wire; fronts and caches plug in."""
