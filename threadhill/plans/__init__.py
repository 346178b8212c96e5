"""Plan and apply: files that say what there should be, and the plan that leads there. Nothing here does I/O but
`syntax`, which reads the files."""
