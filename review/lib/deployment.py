"""The proxies as processes, with settings from the deploy file's template."""

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
SITE = {"obihiro": 4, "kushiro": 3, "kitami": 2}
"""Machines by zone, as in the site takanashi-frames."""

REGION = "doto"

BOUNDS = {
    "graceS": 6,
    "revokeMs": 5000,
    "drainMs": 7000,
    "quotaSlack": 20,
}


def find_port(host="127.0.0.1"):
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
        try:
            with socket.socket(type=socket.SOCK_DGRAM) as udp:
                udp.bind((host, port))
        except OSError:
            continue
        return port


def render(text, fields):
    """Fill in a template of settings, as `DEPLOY.md` describes it."""

    def find(name, item, key):
        if name == ".":
            return item
        if name == "@":
            return key
        for source in (item, fields):
            value = source
            for part in name.split("."):
                if isinstance(value, list):
                    value = value[int(part)]
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
            if value is not None:
                return value
        return None

    def fill(part, item=None, key=None):
        def fill_section(match):
            value = find(match[1], item, key)
            if isinstance(value, dict):
                return "".join(fill(match[2], v, k) for k, v in value.items())
            return fill(match[2], item, key) if value else ""

        def fill_field(match):
            value = find(match[1], item, key)
            if match[2]:
                return json.dumps(value)
            return "" if value is None else str(value)

        part = re.sub(
            r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
            fill_section,
            part,
            flags=re.DOTALL,
        )
        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", fill_field, part)

    return fill(text)


class Machine:
    """One entry machine with its proxy."""

    def __init__(self, name, zone, host, folder):
        self.name, self.zone, self.host = name, zone, host
        self.front = (host, find_port(host))
        self.ready = (host, find_port(host))
        self.peer_port = find_port(host)
        self.metrics_port = 9464
        self.store = ("127.0.0.1", find_port())
        self._folder = folder
        self.process = None

    def start(self, duties):
        """Start the proxy."""
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["proxy"]
        template = os.path.join(ROOT, role["template"])
        with open(template, encoding="utf-8") as file:
            text = file.read()
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.host,
            "zones": {zone: REGION for zone in SITE},
            "bindAddrs": {
                "front": "%s:%d" % self.front,
                "ready": "%s:%d" % self.ready,
            },
            "internalPorts": [self.peer_port, self.peer_port],
            "platform": {"address": "%s:%d" % self.store, "ttlMinMs": 1000},
            "cloud": {"address": duties},
            "bounds": BOUNDS,
        }
        path = os.path.join(self._folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(text, fields))
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["GERANIUMRIDGE_BOOT"] = path
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(os.path.join(self._folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self, number=signal.SIGKILL):
        """Send a signal to the proxy."""
        self.process.send_signal(number)

    async def wait_ready(self, timeout_s=20):
        """Wait until the readiness probe gets a 200."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line


class Deployment:
    """All machines of the site."""

    def __init__(self, site=None):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.machines = {}
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        number = 0
        for zone, count in (site or SITE).items():
            for index in range(1, count + 1):
                number += 1
                name = f"front-{zone}-{index}"
                self.machines[name] = Machine(
                    name, zone, f"{network}.{number}", self.folder
                )

    def start(self, duties):
        for machine in self.machines.values():
            machine.start(duties)

    async def wait_ready(self):
        for machine in self.machines.values():
            await machine.wait_ready()

    def stop(self):
        """End all processes and remove their files."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.kill(signal.SIGCONT)
                machine.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
