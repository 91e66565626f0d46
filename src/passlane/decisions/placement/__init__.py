"""Which back end a turn, a request or a call goes to."""
