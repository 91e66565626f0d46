# Policy of the top-up association.
#
# Clerks at a counter come first, because a customer waits. Head offices can wait a
# little. A dispute that runs on and on is most likely stuck, so it loses its place.

HEAD_OFFICES = ["head-office-north", "head-office-centre", "head-office-south"]

# Turns after which a dispute no longer counts as a customer at the counter.
LONG_DISPUTE = 40

def classify(call):
    if call["tenant"] in HEAD_OFFICES:
        return {"class": 2}
    if call["sequence"] >= LONG_DISPUTE:
        return {"class": 1}
    return {"class": 0}

def share(tenant):
    # Each head office stands for many shops.
    return 2.0 if tenant["tenant"] in HEAD_OFFICES else 1.0

def budget(program):
    if program["tenant"] in HEAD_OFFICES:
        return {"tokens": 1000000, "calls": 400, "deadline_s": 3600.0}
    return {"tokens": 200000, "calls": 60, "deadline_s": 600.0, "tool_pause_s": 0.6}
