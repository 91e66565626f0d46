"""What the decisions are told, and what they answer, as types."""
