"""The programs: nodes, the command line, the demo and the benchmarks."""
