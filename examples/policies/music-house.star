# Policy of the music house.
#
# The practice tutor comes first: a child is playing. Booking helpers for parents come
# next, and sub-agents last. Conversations return for days, so programs live long.

TUTOR = "tutor"

DAY_S = 24 * 3600.0

# Students play for up to so long between two turns, and tools answer in less than this.
PLAYING_S = 20.0
TOOL_S = 0.6

def classify(call):
    if call["is_sub_agent"]:
        return {"class": 2}
    if call["tenant"] == TUTOR:
        return {"class": 0, "weight": 2.0}
    return {"class": 1}

def budget(program):
    if program["tenant"] == TUTOR:
        return {"calls": 470, "deadline_s": 30 * DAY_S, "tool_pause_s": PLAYING_S}
    return {"calls": 60, "deadline_s": DAY_S, "tool_pause_s": TOOL_S}
