"""Stand-ins that implement the protocols of the users' platform, for tests."""
