"""Entry process: accepts HTTP requests, routes and retries them, runs the planner."""
