"""Transport of messages between passlane processes, as frames over byte streams.

It owns the frame format, the connections, and the client and server on top of them.
"""
