"""Routes: validation of configurations, route matching, and identification of tenants."""
