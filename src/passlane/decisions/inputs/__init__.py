"""Types of the events that the decisions receive and of the instructions that they return."""
