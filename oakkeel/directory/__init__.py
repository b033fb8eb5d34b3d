"""The link to the directory, through which dispatchers find nodes."""
