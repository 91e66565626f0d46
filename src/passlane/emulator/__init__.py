"""Stand-ins for engines, applications, the platform list and the weights store."""
