"""A seeded soak: real proxies among stand-ins that write down all that happens, and a judge that reads only that."""
