"""The control plane: the recorded state of an installation, its changes step by step, and the feed to its proxies."""
