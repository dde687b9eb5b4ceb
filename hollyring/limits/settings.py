"""Constants of the rate limit protocol."""

MAX_CLOCK_DRIFT = 0.0005
"""Largest relative error of a VM's monotonic clock."""

LOAN_SECONDS = 0.3
"""Lifetime of a loan from the sending of the borrow request, by the borrower's clock.

The borrower spends none of the tokens after this time.
"""

HOLD_SECONDS = LOAN_SECONDS * (1 + 4 * MAX_CLOCK_DRIFT)
"""Lifetime of a loan from the debit of the tokens, by the holder's clock.

It exceeds `LOAN_SECONDS` by more than the two clocks can differ. Shares of a new limit start to
refill, and settled rosters take effect, after this delay, when all earlier loans have expired.
"""

BORROW_TIMEOUT_SECONDS = 0.1
"""Seconds after which a holder that did not answer a borrow request is skipped."""

HOLDER_BACKOFF_SECONDS = 1.0
"""Seconds from an unanswered borrow request for which its holder is sent no other one.

A late grant ends this period.
"""

MAX_BORROW_WAIT_SECONDS = 0.25
"""Longest time that a request waits for borrowed tokens."""

MAX_ACCRUAL_WAIT_SECONDS = 0.1
"""A request waits if the total deficit of all waiting requests accrues within this time."""

MAX_BORROW_REQUESTS = 8
"""Most borrow requests of one organisation that a VM has in flight."""

TINY_BURST_SECONDS = 4 * LOAN_SECONDS
"""If the rate fills the burst in less time, holders are told of each loan once it is spent."""

SMALL_BURST_SECONDS = 20 * LOAN_SECONDS
"""If the rate fills the burst in less time, holders are told of large loans once they are spent."""

LARGE_LOAN_DIVISOR = 4
"""A loan is large if it exceeds a share's burst divided by this number."""

MIN_EXPECTED_FRACTION = 1 / 32
"""Smallest fraction of the tokens accruing at a holder that a VM expects to borrow."""

CONTENTION_SECONDS = 0.5
"""Seconds after a grant in which a VM expects only a fraction of the accruing tokens.

Of the tokens that accrue later it expects all.
"""

EXPECTED_FRACTION_STEP = 1 / 8
"""Increase of the expected fraction with each grant of all requested tokens."""

MAX_WAITING_REQUESTS = 256
"""Most requests of one organisation that wait for tokens at a VM."""

MAX_LOANS = 512
"""Most outstanding loans of one share; beyond this number, it lends nothing."""

MAX_REFUNDABLE_LOANS = 128
"""Most closed loans of one share for which returned tokens are still credited."""

MAX_PENDING_BORROWS = 4096
"""Most unanswered borrow requests, over all organisations, whose grants a VM still accepts."""

MAX_RESERVATIONS = 4096
"""Most admitted requests whose unused tokens a VM can still return to the holders."""

BORROWER_IDLE_SECONDS = 10.0
"""Seconds without a request after which an organisation's `borrower.Borrower` is dropped."""

BARRIER_POLL_SECONDS = 1.0
"""Seconds between polls while a roster change is not settled."""

CONFIRMATION_COLLECTORS = 3
"""Number of VMs that collect the confirmations of a roster change."""

MIN_RETRY_AFTER_SECONDS = 0.05
"""Smallest `retry_after` of a retryable refusal."""

MAX_RETRY_AFTER_SECONDS = 60.0
"""Largest `retry_after` of a retryable refusal."""
