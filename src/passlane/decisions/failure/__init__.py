"""What an answer or a failure means, whether to send again, when to give up or come back."""
