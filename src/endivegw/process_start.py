"""Record the start time of this process.

The launchers import this module before any other. A router's predecessor on the same
machine has ended by then, so that the successor need not account for growth of the
predecessor's limits while the successor imports its libraries, which takes a third of
a second.
"""

import time

__all__ = ["STARTED_S"]

#: Seconds on a clock that continues while the machine is suspended.
STARTED_S = time.clock_gettime(time.CLOCK_BOOTTIME)
