"""What commands and the demo show, as tables for a terminal."""
