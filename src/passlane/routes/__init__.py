"""Routes: checks of a configuration and the choice of a route and a service."""
