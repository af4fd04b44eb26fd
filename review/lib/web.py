"""A small HTTP/1.1 server on asyncio streams."""

import asyncio
import json

REASONS = {200: "OK"}


async def serve(host, port, handle):
    """Serve an async function of method, path, headers and body.

    It returns a status and the data of a JSON body, or None to close the
    connection without an answer.
    """

    async def serve_connection(reader, writer):
        try:
            while await _serve_request(reader, writer, handle):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port)


async def _serve_request(reader, writer, handle):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    answer = await handle(method, path, headers, body)
    if answer is None:
        return False
    status, data = answer
    content = json.dumps(data).encode()
    writer.write(
        f"HTTP/1.1 {status} {REASONS.get(status, 'Refused')}\r\n"
        f"Content-Type: application/json\r\n"
        f"Content-Length: {len(content)}\r\n\r\n".encode() + content
    )
    await writer.drain()
    return True
