"""A soak: the real daemons as processes under faults, judged by what callers and back ends see."""
