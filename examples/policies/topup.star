# Policy of the top-up association.
#
# Clerks at a counter come first, because a customer waits. Head offices can wait a
# little. A dispute that runs on and on is most likely stuck, so it loses its place.

HEAD_OFFICE = "head-office"

# Calls after which a dispute no longer counts as a customer at the counter.
LONG_DISPUTE = 40

def classify(call):
    if call["tenant"] == HEAD_OFFICE:
        return {"class": 2}
    if call["sequence"] >= LONG_DISPUTE:
        return {"class": 1}
    return {"class": 0}

def share(tenant):
    # The head office stands for many shops.
    return 2.0 if tenant["tenant"] == HEAD_OFFICE else 1.0

def budget(program):
    # A program that still runs after an hour has lost its customer long ago.
    return {"tokens": 200000, "calls": 470, "deadline_s": 3600.0, "tool_pause_s": 0.6}
