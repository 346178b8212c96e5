"""Who may call the administration API, and what they did. Decisions without I/O, and the files that hold both."""
