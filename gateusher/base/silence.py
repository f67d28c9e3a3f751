"""How long a peer may be silent in the middle of a message that is passed on as it comes.

While the network is partitioned open connections stay open and silent, and what is under way arrives afterwards.  TCP
resends at intervals that double (RFC 6298, 5.5), so that its first attempt after a partition comes at most as long
after its end as the partition has lasted.
"""

from __future__ import annotations

from typing import Final

LONGEST_PARTITION_S: Final = 20.0  # of the operators' deployments
RESEND_DELAY_FACTOR: Final = 2.0
MARGIN_S: Final = 2.0
MAX_SILENCE_S: Final = RESEND_DELAY_FACTOR * LONGEST_PARTITION_S + MARGIN_S
