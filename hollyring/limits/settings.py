"""Named constants of the limits protocol."""

MAX_CLOCK_DRIFT = 0.0005
"""Largest relative error of a VM's monotonic clock."""

LOAN_SECONDS = 0.3
"""A borrower spends borrowed tokens within this time of sending its ask, by its own clock."""

HOLD_SECONDS = LOAN_SECONDS * (1 + 4 * MAX_CLOCK_DRIFT)
"""A holder counts lent tokens as outstanding for this time after the debit, by its own clock."""

ASK_TIMEOUT = 0.1
"""Seconds after which an unanswered holder is passed over."""

BACKOFF_SECONDS = 1.0
"""Seconds for which a holder that did not answer is not asked again."""

PATIENCE_SECONDS = 0.25
"""Longest time in seconds that a request waits for borrowed tokens."""

WAIT_SECONDS = 0.1
"""A request whose tokens accrue within this time waits for them rather than be refused."""

FANOUT = 8
"""Asks that one VM has in flight for one organisation."""

TINY_BURST_SECONDS = 4 * LOAN_SECONDS
"""Of a burst that the rate fills faster, every loan is reported as soon as it is spent."""

SMALL_BURST_SECONDS = 20 * LOAN_SECONDS
"""Of a burst that the rate fills faster, large loans are reported as soon as they are spent."""

LARGE_LOAN = 4
"""A loan is large if it is more than this part of a share's burst."""

LEAST_YIELD = 1 / 32
"""Least part of what accrues at a holder that a VM expects for itself."""

CONTENDED_SECONDS = 0.5
"""Seconds after an answer for which the smaller part is expected; later the whole rate is."""

YIELD_STEP = 1 / 8
"""Rise of that part with each answer that gives all that was asked."""

MAX_PENDING = 256
"""Requests of one organisation that wait at one VM for borrowed tokens."""

MAX_LOANS = 512
"""Loans that a holder keeps of one organisation; beyond it lends nothing."""

MAX_REFUNDABLE = 128
"""Spent loans of one organisation for which a holder still takes tokens back."""

MAX_ASKED = 4096
"""Asks in flight, over all organisations, whose answer a VM still recognises."""

MAX_RESERVATIONS = 4096
"""Unsettled requests that a VM remembers."""

IDLE_SECONDS = 10.0
"""Seconds after which what a VM knows of an unused organisation's holders is dropped."""

FENCE_POLL_SECONDS = 1.0
"""Seconds between two polls of a roster change that is not yet settled."""

COLLECTORS = 3
"""VMs that collect the confirmations of one roster change."""

MIN_RETRY_AFTER = 0.05
"""Smallest `retry_after` in seconds."""

MAX_RETRY_AFTER = 60.0
"""Largest `retry_after` in seconds."""
