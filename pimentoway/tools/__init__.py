"""Programs: the command line, the demo and the benchmarks."""
