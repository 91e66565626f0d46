"""HTTP clients of engines and applications."""
