"""Stand-in database group, fault-injecting proxy, process harness."""
