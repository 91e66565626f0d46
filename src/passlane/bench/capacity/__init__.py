"""Works out what each role needs at the size that is designed for, from measured slopes."""
