"""The command line: commands parse options, send requests and print results."""
