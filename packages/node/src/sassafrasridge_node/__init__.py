"""The daemon: adapters, tasks and the composition root."""
