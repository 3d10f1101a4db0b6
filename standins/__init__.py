"""Stand-ins of the platform and of the executors, for the demo, tests and benchmarks."""
