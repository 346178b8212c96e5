"""Keys of callers of the administration API, and its audit log: the logic without I/O, and the files of both."""
