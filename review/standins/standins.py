"""Stand-ins for the outside systems of a small deployment, for the scripts of the cases.

State service, cloud, workers and users, written from the protocol page alone, on loopback
addresses and the real clock. Only the standard library is used.
"""

import asyncio
import bisect
import ctypes
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"


# Exit codes of `main`; an error of the script itself exits with 1, so that it is no verdict.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
PR_SET_PDEATHSIG = 1


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, who, text):
        self.file.write(f"{self.now():8.3f} {who:14} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started


# ---------------------------------------------------------------------------------------
# HTTP/1.1 over TCP


async def read_message(reader):
    """Reads one request or response; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Server:
    """Serves `handler(method, path, body) -> (status, object)`; None closes without an answer."""

    def __init__(self, handler, port=0):
        self.handler = handler
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await self.handler(method, path, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Closes the listener and all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Connection:
    """A client's connection, kept open until either side closes it."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def request(self, method, path, value, timeout):
        """Returns (status, object, headers), or None without a response."""
        try:
            return await asyncio.wait_for(self._request(method, path, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _request(self, method, path, value):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        data = b"" if value is None else json.dumps(value).encode()
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await self.writer.drain()
        line, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), json.loads(body) if body else {}, headers

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def request_once(address, method, path, value=None, timeout=5.0):
    connection = Connection(address)
    try:
        answer = await connection.request(method, path, value, timeout)
    finally:
        connection.close()
    return answer and answer[:2]


def query(path):
    parts = path.split("?", 1)[1].split("&") if "?" in path else []
    return dict(part.split("=", 1) for part in parts if "=" in part)


# ---------------------------------------------------------------------------------------
# State service


class Rate:
    """A limit in calls per second with a burst of one second's worth."""

    def __init__(self, per_second):
        self.per_second = self.left = per_second
        self.at = time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.left = min(self.per_second, self.left + (now - self.at) * self.per_second)
        self.at = now
        if self.left < amount:
            return False
        self.left -= amount
        return True


class StateService:
    """The key-value store of the protocol page. Answers take 1 to 6 ms."""

    def __init__(self, record, settings):
        self.record = record
        self.limits = settings
        self.requests = Rate(settings["rps"])
        self.writes = Rate(settings["write_rps"])
        self.keys = {}  # key -> (value, mark, lease)
        self.ledger = 0
        self.changes = []  # (mark, event)
        self.leases = {}  # id -> [life, expires, keys]
        self.next_lease = 1
        self.changed = asyncio.Event()
        # Called with the controller, the events of an answer to a watch and whether the watch was
        # held; returns the additional time that the answer takes.
        self.follow_delay = lambda node, events, held: 0.0
        # Called with the controller and the request; an answer replaces the service's own.
        self.intercept = lambda node, method, path: None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [i for i, entry in self.leases.items() if entry[1] <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        keys = [key for key in self.leases.pop(lease)[2] if key in self.keys]
        if keys:
            self.apply([{"drop": key} for key in keys])

    def apply(self, operations):
        self.ledger += 1
        for operation in operations:
            if "set" in operation:
                key, lease = operation["set"], operation.get("tether")
                self.detach(key)
                self.keys[key] = (operation["data"], self.ledger, lease)
                if lease is not None:
                    self.leases[lease][2].add(key)
                event = {"set": key, "data": operation["data"], "mark": self.ledger}
            else:
                key = operation["drop"]
                if key not in self.keys:
                    continue
                self.detach(key)
                del self.keys[key]
                event = {"drop": key, "mark": self.ledger}
            self.changes.append((self.ledger, event))
        del self.changes[:-10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    def detach(self, key):
        if key in self.keys and self.keys[key][2] in self.leases:
            self.leases[self.keys[key][2]][2].discard(key)

    async def handle(self, node, method, path, body):
        await asyncio.sleep(random.uniform(0.0005, 0.003))
        answer = self.intercept(node, method, path)
        if answer is not None:
            return answer
        if not self.requests.take(1):
            return 429, {}
        if path.startswith("/follow"):
            return await self.follow(node, path)
        answer = self.execute(method, path, json.loads(body) if body else {})
        await asyncio.sleep(random.uniform(0.0005, 0.003))
        return answer

    def execute(self, method, path, body):
        if method == "POST" and path == "/commit":
            return self.commit(body)
        if method == "POST" and path == "/grants":
            life = body["life_ms"] / 1000
            if not 0.1 <= life <= 600:
                return 400, {"error": "life_ms"}
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [life, time.monotonic() + life, set()]
            return 200, {"tether": lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if method == "GET" and path.startswith("/kv/"):
            key = path[len("/kv/"):]
            if key not in self.keys:
                return 404, {"ledger": self.ledger}
            value, mark, lease = self.keys[key]
            found = {"k": key, "data": value, "mark": mark}
            if lease is not None:
                found["tether"] = lease
            return 200, found
        if method == "GET" and path.startswith("/kv"):
            asked = query(path)
            starts, after = asked.get("starts", ""), asked.get("from", "")
            most = min(int(asked.get("most", 1000)), 1000)
            keys = sorted(k for k in self.keys if k.startswith(starts) and k > after)
            entries = [
                {"k": k, "data": self.keys[k][0], "mark": self.keys[k][1]} for k in keys[:most]
            ]
            return 200, {"entries": entries, "truncated": len(keys) > most, "ledger": self.ledger}
        return 400, {"error": path}

    def commit(self, body):
        conditions, operations = body.get("if", []), body.get("then", [])
        if (
            len(operations) > self.limits["txn_ops"]
            or len(conditions) > 4 * self.limits["txn_ops"]
            or len(json.dumps(body)) > 64 * 1024
            or any(
                len(json.dumps(o["data"])) > self.limits["value_kb"] * 1024
                for o in operations
                if "set" in o
            )
        ):
            return 400, {"error": "too large"}
        if operations and not self.writes.take(len(operations)):
            return 429, {}
        if any(o.get("tether") is not None and o["tether"] not in self.leases for o in operations):
            return 400, {"error": "no such lease"}
        mark = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [c["k"] for c in conditions if mark(c["k"]) != c["mark"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if operations:
            self.apply(operations)
        return 200, {"ledger": self.ledger}

    async def follow(self, node, path):
        asked, held = query(path), False
        after = int(asked.get("from", 0))
        until = time.monotonic() + min(int(asked.get("hold_ms", 0)), 60_000) / 1000
        starts = asked.get("starts", "")
        while True:
            first = bisect.bisect_right(self.changes, after, key=lambda change: change[0])
            if first == 0 and self.changes and self.changes[0][0] > after + 1:
                return 410, {}
            name = lambda event: event.get("set") or event["drop"]
            events = [e for _, e in self.changes[first:] if name(e).startswith(starts)]
            left = until - time.monotonic()
            if events or left <= 0:
                answer = 200, {"ledger": self.ledger, "events": events}
                late = self.follow_delay(node, events, held)
                await asyncio.sleep(random.uniform(0.0005, 0.003) + late)
                return answer
            held = True
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------------------------------
# Workers


class Worker:
    """One machine's worker, by the protocol page."""

    def __init__(self, world, name, breed, paddock, loaners, port=0):
        self.world, self.name = world, name
        self.breed, self.paddock, self.loaners = breed, paddock, loaners
        self.server = Server(self.handle, port)
        self.tenure, self.tally, self.bridle = 1, 0, 0
        self.tasks = {}  # (stride, heat) -> [stance, cause, timer]
        self.images = set()
        self.renewed = time.monotonic()
        self.node = None
        self.changed = asyncio.Event()
        self.jobs = []

    def note(self, text):
        self.world.record(self.name, text)

    async def start(self):
        await self.server.start()
        self.renewed = time.monotonic()
        self.note(f"up at {self.server.address}")
        self.jobs = [asyncio.create_task(self.report()), asyncio.create_task(self.keep_lease())]
        return self

    async def vanish(self):
        """The machine is gone, with all that was on it."""
        for job in self.jobs:
            job.cancel()
        for entry in self.tasks.values():
            if entry[2]:
                entry[2].cancel()
        await self.server.stop()
        for stride, heat in self.present():
            self.world.note_end(self, stride, heat, "gone")
        self.tasks.clear()
        self.note("gone")

    def present(self):
        return [key for key, entry in self.tasks.items() if entry[0] in ("running", "flushing")]

    def body(self):
        self.tally += 1
        strides = []
        for (stride, heat), (stance, cause, _) in self.tasks.items():
            entry = {"stride": stride, "heat": heat, "stance": stance}
            if cause:
                entry["cause"] = cause
            strides.append(entry)
        return {
            "mount": self.name, "addr": self.server.address, "breed": self.breed["label"],
            "paddock": self.paddock, "loaners": self.loaners, "tenure": self.tenure,
            "tally": self.tally, "bridle": self.bridle, "recall_s": None, "strides": strides,
        }

    async def keep_lease(self):
        lease = self.world.settings["workers"]["lease_s"]
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed <= lease:
                continue
            self.note(f"lease of session {self.tenure} expired")
            for stride, heat in self.present():
                self.world.note_end(self, stride, heat, "lease expired")
            for entry in self.tasks.values():
                if entry[2]:
                    entry[2].cancel()
            self.tasks.clear()
            self.tenure += 1
            self.renewed = time.monotonic()
            self.changed.set()

    async def report(self):
        nodes = list(self.world.nodes)
        self.node = random.choice(nodes)
        connection, every = None, self.world.settings["workers"]["report_s"]
        while True:
            self.changed.clear()
            if connection is None:
                connection = Connection(self.world.nodes[self.node].serve_on)
            sent, tenure = time.monotonic(), self.tenure
            answer = await connection.request("POST", "/hello", self.body(), 4.0)
            if answer and answer[0] == 200:
                self.accept(answer[1], sent, tenure)
                try:
                    await asyncio.sleep(0.5)
                    wait = every * random.uniform(0.75, 1.25) - 0.5
                    await asyncio.wait_for(self.changed.wait(), max(wait, 0))
                except asyncio.TimeoutError:
                    pass
                continue
            connection.close()
            connection = None
            owner = answer[1].get("groom") if answer and answer[0] == 421 else None
            if owner in self.world.nodes and owner != self.node:
                self.node = owner
                await asyncio.sleep(random.uniform(0.0, 0.5))
            else:
                self.node = nodes[(nodes.index(self.node) + 1) % len(nodes)]
                await asyncio.sleep(1.0)

    def accept(self, answer, sent, tenure):
        if tenure != self.tenure or answer.get("bridle", -1) < self.bridle:
            self.note(f"dropped an answer with token {answer.get('bridle')}")
            return
        if answer["bridle"] > self.bridle:
            self.bridle = answer["bridle"]
            self.changed.set()
        self.renewed = max(self.renewed, sent)
        self.execute(answer.get("calls", []))

    async def handle(self, method, path, body):
        if path == "/inspect":
            return 200, self.body()
        if path != "/orders":
            return 404, {}
        orders = json.loads(body)
        if "bridle" not in orders or "tenure" not in orders:
            return 400, {}
        if orders["bridle"] < self.bridle or orders["tenure"] != self.tenure:
            self.note(f"refused orders with token {orders['bridle']}")
            return 409, self.body()
        if orders["bridle"] > self.bridle:
            self.bridle = orders["bridle"]
            self.changed.set()
        self.execute(orders.get("calls", []))
        return 200, self.body()

    def execute(self, calls):
        for call in calls:
            key = (call["stride"], call["heat"])
            if call["call"] == "start":
                if key not in self.tasks:
                    self.begin(*key)
                    self.changed.set()
            elif call["call"] == "kill":
                entry = self.tasks.get(key)
                if entry and entry[0] != "exited":
                    self.end(key, "halted")
            elif call["call"] == "clear":
                if key in self.tasks and self.tasks[key][0] == "exited":
                    del self.tasks[key]
                    self.changed.set()

    def begin(self, stride, heat):
        key, job = (stride, heat), self.world.jobs.get(stride.split("/")[0])
        if job is None:
            cause = "unknown"
        elif any(s == stride and e[0] != "exited" for (s, _), e in self.tasks.items()):
            cause = "busy"
        else:
            held = [k for k, e in self.tasks.items() if e[0] != "exited"]
            taken = lambda field: sum(self.world.jobs[s.split("/")[0]][field] for s, _ in held)
            fits = all(
                taken(field) + job[field] <= self.breed[field] + 1e-6
                for field in ("cpus", "gpus", "ram_gb")
            )
            cause = None if fits else "full"
        if cause:
            self.note(f"refused {stride} attempt {heat}: {cause}")
            self.tasks[key] = ["exited", cause, None]
            return
        self.tasks[key] = ["fetching", None, asyncio.create_task(self.run(key, job))]

    async def run(self, key, job):
        if job["tack"] not in self.images:
            await asyncio.sleep(job["pull_gb"] / self.breed["fetch_gb_per_s"])
            self.images.add(job["tack"])
        entry = self.tasks[key]
        entry[0] = "running"
        self.world.note_start(self, *key)
        self.changed.set()
        if job["gait"] == "daemon":
            entry[2] = None
            return
        await asyncio.sleep(job["ride_s"])
        entry[2] = None
        self.end(key, "done")

    def end(self, key, cause):
        entry = self.tasks[key]
        if entry[2]:
            entry[2].cancel()
        if entry[0] in ("running", "flushing"):
            self.world.note_end(self, *key, cause)
        self.tasks[key] = ["exited", cause, None]
        self.changed.set()


# ---------------------------------------------------------------------------------------
# Cloud


class Cloud:
    """Rents machines. `capacity` maps (type, zone, spot) to the number of machines."""

    def __init__(self, world, breeds, capacity, boot_s):
        self.world, self.breeds, self.capacity, self.boot_s = world, breeds, capacity, boot_s
        self.requests = Rate(world.settings["cloud"]["rps"] * 2)
        self.requests.per_second = world.settings["cloud"]["rps"]
        self.hires = {}  # request name -> names of machines
        self.machines = {}  # name -> [breed, zone, spot, rented at, worker or None]
        self.history = []  # (time, list of machines), for the lag of the list
        self.count = 230
        self.asked = []  # (time, request name), each request for machines
        # Returns the port at which a new machine's worker listens; 0: any free port.
        self.port_for = lambda: 0

    async def handle(self, method, path, body):
        await asyncio.sleep(random.uniform(0.03, 0.06))
        if not self.requests.take(1):
            return 429, {}
        value = json.loads(body) if body else {}
        if path == "/catalog":
            return 200, {"breeds": self.breeds}
        if method == "POST" and path == "/machines":
            return self.rent(value)
        if method == "POST" and path == "/machines/return":
            for name in value["mounts"]:
                if name in self.machines:
                    self.world.record("cloud", f"{name} returned")
                    await self.remove(name)
            return 200, {}
        if path.startswith("/machines"):
            return self.list(query(path))
        return 400, {}

    def rent(self, value):
        name = value["hire"]
        self.asked.append((self.world.record.now(), name))
        if name in self.hires:
            mounts = self.hires[name]
            self.world.record("cloud", f"hire {name} again: the same answer, {mounts}")
            return 200, {"mounts": mounts}
        kind = (value["breed"], value["paddock"], value["loaners"])
        number = min(value["number"], 50, self.capacity.get(kind, 0))
        if number <= 0:
            self.world.record("cloud", f"hire {name} {kind}: no capacity")
            return 503, {"error": "no capacity"}
        self.capacity[kind] -= number
        mounts = []
        for _ in range(number):
            self.count += 1
            mount = f"vm-{self.count:06}"
            breed = next(b for b in self.breeds if b["label"] == value["breed"])
            self.machines[mount] = [breed, value["paddock"], value["loaners"], time.monotonic(), None]
            mounts.append(mount)
            self.world.spawn(self.boot(mount))
        self.hires[name] = mounts
        self.note_list()
        self.world.record("cloud", f"hire {name} {kind}: {mounts}")
        return 200, {"mounts": mounts}

    async def boot(self, mount):
        await asyncio.sleep(self.boot_s)
        if mount in self.machines:
            breed, zone, spot, _, _ = self.machines[mount]
            worker = Worker(self.world, mount, breed, zone, spot, self.port_for())
            self.machines[mount][4] = worker
            await worker.start()
            self.note_list()

    async def remove(self, mount):
        breed, zone, spot, _, worker = self.machines.pop(mount)
        self.capacity[(breed["label"], zone, spot)] += 1
        if worker:
            await worker.vanish()
        self.note_list()

    async def take(self, mount):
        """Takes a spot machine back without a notice."""
        self.world.record("cloud", f"{mount} taken back without a notice")
        await self.remove(mount)

    def note_list(self):
        rows = [
            (m, b["label"], z, s, at, "running" if w else "starting", w.server.address if w else "")
            for m, (b, z, s, at, w) in sorted(self.machines.items())
        ]
        self.history.append((time.monotonic(), rows))

    def list(self, asked):
        then = time.monotonic() - self.world.settings["cloud"]["list_lag_s"]
        rows = [rows for at, rows in self.history if at <= then]
        rows = [row for row in (rows[-1] if rows else []) if row[0] > asked.get("from", "")]
        most = min(int(asked.get("most", 500)), 500)
        mounts = [
            {"uid": m, "addr": a, "breed": b, "paddock": z, "loaners": s, "stance": st,
             "age_s": round(then - at, 1)}
            for m, b, z, s, at, st, a in rows[:most]
        ]
        return 200, {"mounts": mounts, "truncated": len(rows) > most}


# ---------------------------------------------------------------------------------------
# Controllers, and everything together


def free_port():
    import socket

    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def end_with_parent():
    """Ends this process when the script ends, whatever ends it."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Node:
    """One controller: the project's program, as its deploy file starts it."""

    def __init__(self, world, name, area):
        self.world, self.name, self.area = world, name, area
        self.serve_on = f"{HOST}:{free_port()}"
        self.peer_bind = f"{HOST}:{free_port()}"
        self.process = None
        # The state service has an address for each controller, to tell them apart.
        self.state_server = Server(
            lambda method, path, body: world.state.handle(name, method, path, body)
        )

    def start(self):
        world = self.world
        settings = {
            "node_name": self.name, "area": self.area,
            "serve_on": self.serve_on, "peer_bind": self.peer_bind,
            "peers": [
                {"node_name": n.name, "area": n.area, "address": n.peer_bind}
                for n in world.nodes.values() if n is not self
            ],
            "services": {
                "cloud": world.cloud_server.address, "state": self.state_server.address,
            },
            "settings": world.settings,
        }
        path = os.path.join(world.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = subprocess.Popen(
            world.run_command + [path], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=end_with_parent,
        )
        world.record(self.name, f"started, process {self.process.pid}")

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record(self.name, f"sent {signal.Signals(number).name}")


class CannotRun(Exception):
    """The case could not run."""


class World:
    """A small deployment: controllers, stand-ins, and what its users and workers saw."""

    def __init__(self, record, settings, areas, breeds, capacity, boot_s):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.run_command = tomllib.load(file)["run"].split()
        if not os.path.exists(os.path.join(ROOT, self.run_command[0])):
            raise CannotRun(f"{self.run_command[0]} is not built")
        self.record, self.settings = record, settings
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.state = StateService(record, settings["state"])
        self.cloud = Cloud(self, breeds, capacity, boot_s)
        self.cloud_server = Server(self.cloud.handle)
        self.nodes = {}
        for number, area in enumerate(areas):
            name = f"stallhand-{number}"
            self.nodes[name] = Node(self, name, area)
        self.jobs = {}  # descriptions that users uploaded
        self.starts = []  # (time, machine, task, attempt)
        self.present = {}  # (machine, task, attempt) -> start
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def note_start(self, worker, stride, heat):
        self.record(worker.name, f"{stride} attempt {heat} runs")
        self.starts.append((self.record.now(), worker.name, stride, heat))
        self.present[(worker.name, stride, heat)] = self.record.now()

    def note_end(self, worker, stride, heat, why):
        self.record(worker.name, f"{stride} attempt {heat} ended: {why}")
        self.present.pop((worker.name, stride, heat), None)

    def started(self, uid, after=0.0):
        return [s for s in self.starts if s[2].split("/")[0] == uid and s[0] >= after]

    async def start(self, ready_within=20.0):
        await self.cloud_server.start()
        self.spawn(self.state.expire())
        for node in self.nodes.values():
            await node.state_server.start()
        for node in self.nodes.values():
            node.start()
        until = time.monotonic() + ready_within
        for node in self.nodes.values():
            while True:
                answer = await request_once(node.serve_on, "GET", "/ready", timeout=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.2)
        self.record("test", "all controllers are ready")

    def leader(self):
        entry = self.state.keys.get("leader")
        return entry and entry[0]["node"]

    async def submit(self, job, node=None, tries=30):
        """Submits a job like a user: at any node, again after 1 s, up to 60 s in total."""
        self.jobs[job["uid"]] = job
        for _ in range(tries):
            name = node or random.choice(list(self.nodes))
            answer = await request_once(self.nodes[name].serve_on, "POST", "/api/jobs", job)
            self.record("user", f"submits {job['uid']} at {name}: {answer}")
            if answer and answer[0] in (200, 201):
                return self.record.now()
            if answer and answer[0] in (400, 422):
                break
            await asyncio.sleep(1.0)
        raise CannotRun(f"{job['uid']} was not accepted")

    async def poll(self, uid, node=None):
        name = node or random.choice(list(self.nodes))
        path = f"/api/jobs/{uid}"
        answer = await request_once(self.nodes[name].serve_on, "GET", path, timeout=2.0)
        self.record("user", f"asks {name} about {uid}: {answer}")
        return answer

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for entry in self.cloud.machines.values():
            if entry[4]:
                for job in entry[4].jobs:
                    job.cancel()
                await entry[4].server.stop()
        for node in self.nodes.values():
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for server in [self.cloud_server] + [n.state_server for n in self.nodes.values()]:
            if server.server:
                await server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil

            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


def job(uid, **fields):
    """A job of the protocol page's form; `fields` replace the defaults."""
    base = {
        "uid": uid, "herd": "civico-live", "stable": "squadra-civici", "gait": "daemon",
        "rank": "prod", "strides": 1, "cpus": 4.0, "gpus": 0.0, "ram_gb": 3.7,
        "tack": "img-01", "pull_gb": 0.2, "breeds": None, "paddock": None,
        "same_place": False, "spread": False, "loaners": False,
        "ride_s": 0.0, "rest_s": 0.0, "saddle_s": 0.0, "post_s": None,
    }
    return dict(base, **fields)


def main(folder, scenario):
    """Runs a case. `scenario` returns what was broken, or None if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("test", f"trouble: {trouble}")

    async def limited():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(scenario(record, trouble), 114)

    try:
        verdict = asyncio.run(limited())
        code, text = (BROKEN, f"broken: {verdict}") if verdict else (HELD, "the rule held")
    except CannotRun as error:
        code, text = COULD_NOT_RUN, f"could not run: {error}"
    except (asyncio.TimeoutError, asyncio.CancelledError):
        code, text = COULD_NOT_RUN, "could not run: out of time"
    record("test", text)
    print(text)
    sys.exit(code)
