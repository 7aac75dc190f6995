"""Decision modules of the proxy; they perform no I/O."""
