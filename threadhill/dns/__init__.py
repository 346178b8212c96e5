"""DNS-based request routing: names in, one server's address out, chosen by the same core."""
