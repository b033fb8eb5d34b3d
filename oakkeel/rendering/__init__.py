"""Tables that the commands and the demo print to the terminal."""
