"""Documents that operators submit, and the view of them that is in force."""
