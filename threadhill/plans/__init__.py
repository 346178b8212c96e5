"""Plan and apply: configuration files describe the wanted state, and a plan is the steps from the recorded state to it.

Nothing here does I/O but `syntax`, which reads the files.
"""
