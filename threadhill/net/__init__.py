"""Sockets: the platform's front, the cache servers' lines, the journal service, the loop they share."""
