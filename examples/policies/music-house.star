# Policy of the music house.
#
# The practice tutor comes first: a child is playing. Booking helpers for parents come
# next. Conversations return for days, so programs live long and have large budgets.

# A tutor's prompt carries earlier lessons; booking helpers start with a short one.
TUTOR_PROMPT_TOKENS = 2000

DAY_S = 24 * 3600.0

def classify(call):
    if call["is_sub_agent"]:
        return {"class": 1}
    if call["prompt_tokens"] >= TUTOR_PROMPT_TOKENS:
        return {"class": 0, "weight": 2.0}
    return {"class": 1}

def budget(program):
    return {
        "tokens": 2000000,
        "calls": 470,
        "deadline_s": 30 * DAY_S,
        "tool_pause_s": 20.0,
    }
