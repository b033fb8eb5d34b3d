"""What may be out at one time: places granted by the record, for a time, under a fence. Free of I/O."""
