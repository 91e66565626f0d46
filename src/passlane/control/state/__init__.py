"""The replicated state of the control group: documents, acceptance, withdrawals; no I/O."""
