"""Pure decisions: time, randomness and messages are arguments."""
