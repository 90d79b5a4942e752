"""Decision logic without I/O: time, randomness and messages are arguments."""
