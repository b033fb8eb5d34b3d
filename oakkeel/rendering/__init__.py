"""Tables for the terminal, of the commands and the demo."""
