"""Clients of the proxies."""

import asyncio
import itertools

_ids = itertools.count(1)

PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")


class Closed(Exception):
    """The connection ended without a complete answer."""


class Caller:
    """One session."""

    def __init__(self, record, machine, database, key):
        self._record = record
        self._machine = machine
        self._database, self._key = database, key
        self._reader = self._writer = None

    async def open(self):
        """Open the session; return whether it is ready."""
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(*self._machine.front, limit=2**21), 2
            )
            self._writer.write(
                f"STARTUP {self._database} {self._key}\r\n".encode()
            )
            line = await asyncio.wait_for(self._reader.readline(), 2)
        except (OSError, asyncio.TimeoutError):
            self.close()
            return False
        if line.startswith(b"READY"):
            return True
        self.close()
        return False

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def run(self, text, timeout_s=4.0):
        """Run a statement; return its id, code and rows.

        The code is COMPLETE, the code of an error, or CLOSED.
        """
        statement_id = f"s{next(_ids):06d}"
        self._record.note(f"sent {statement_id} {self._machine.name} {text}")
        rows, code = [], "CLOSED"
        try:
            self._writer.write(f"QUERY {statement_id} {text}\r\n".encode())
            async with asyncio.timeout(timeout_s):
                while True:
                    line = await self._reader.readuntil(b"\r\n")
                    word, _, rest = line[:-2].decode().partition(" ")
                    if word == "READY":
                        break
                    if word == "ROW":
                        rows.append(rest)
                    else:
                        code = word if word == "COMPLETE" else rest[:9]
                        code = code.split(" ")[0]
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            code = "CLOSED"
            self.close()
        text = " ".join(rows) if len(rows) < 10 else f"{len(rows)} rows"
        self._record.note(f"answered {statement_id} {code} {text[:100]}")
        return statement_id, code, rows
