"""The decision module: which server, whether to try again, what is turned away. It imports nothing else from here."""
