"""Experiments that compare passlane with baselines and measure slopes."""
