"""When this process started.

Imported before all else by the launchers. A router's predecessor on the same machine
had ended by then, so that its successor need not count what the predecessor's limits
grew while the successor loaded its libraries, a third of a second.
"""

import time

__all__ = ["STARTED_S"]

#: On the clock that goes on while the machine is suspended.
STARTED_S = time.clock_gettime(time.CLOCK_BOOTTIME)
