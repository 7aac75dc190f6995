"""Simulated database group, fault-injecting proxy, process harness."""
