"""What the control group agrees on: documents, acceptance, withdrawals; no I/O."""
