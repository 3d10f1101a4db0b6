"""Tools of the repository: demo, load, benchmarks and the test runner."""
