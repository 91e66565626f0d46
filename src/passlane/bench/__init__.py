"""Experiments, the demo and the playground, and the rig that starts their processes."""
