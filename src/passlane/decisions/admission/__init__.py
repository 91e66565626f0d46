"""Which new programs and requests are taken on."""
