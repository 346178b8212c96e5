"""DNS-based request routing: answers names with the address of a server that the core chooses."""
