"""Record of what was sent, answered and run, and the result of a case."""

import os
import sys
import time

HELD = 0
BROKEN = 1
NOT_RUN = 2


class Record:
    """Lines with the seconds since the start, kept and written to a file."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._began_at = time.monotonic()
        self.broken = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def note(self, text):
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()

    def note_broken(self, rule, text):
        """Write that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")

    def finish(self, served, least_served):
        """Write the result and return the exit status."""
        if served < least_served:
            self.note(f"RESULT not run: {served} served of {least_served}")
            print(f"not run: only {served} statements served")
            return NOT_RUN
        status = BROKEN if self.broken else HELD
        self.note(f"RESULT {'broken' if status else 'held'}")
        for line in self.broken[:5] or ["held"]:
            print(line)
        sys.stdout.flush()
        return status
