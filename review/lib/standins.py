"""Small stand-ins of the platform's store, of replicas and of clients, for the cases of this review.

They follow the users' pages (PROTOCOL.md, DEPLOY.md and the news). Only the standard library is used.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "chervilshunt-on-platform")
START = time.monotonic()


def now():
    """Seconds since the case began."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to a file: record.txt, as run.sh names it."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not be run; this says nothing about the rule."""


def own_ip(number):
    """A loopback address of this process's own, so that nobody else listens there. Everything else is in 127.0.0.0/16."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{pid // 250 % 250}.{number}"


class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_head(reader):
    """Reads a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers.append((key.strip(), value.strip()))
    return Head(lines[0], headers)


async def read_body(reader, head, seen=None):
    """Reads a body; its parts are added to `seen` as they come, so that those of a broken answer are known too."""
    if (head.get("transfer-encoding") or "").lower().endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
            if seen is not None:
                seen.append(part[:-2])
    return await reader.readexactly(int(head.get("content-length") or 0))


def answer_bytes(status, headers, body):
    reason = {200: "OK", 202: "Accepted"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.address = None
        self.server = None
        # A function of (method, kind, name, body) that may await, to delay a call; None: no fault.
        self.fault = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False}
        it = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[(kind, name)] = it
        self.history.append((self.revision, kind, it, False))
        async with self.changed:
            self.changed.notify_all()
        return it

    async def remove(self, kind, name):
        it = self.objects.pop((kind, name), None)
        if it is not None:
            self.revision += 1
            self.history.append((self.revision, kind, it, True))
            async with self.changed:
                self.changed.notify_all()

    def spec(self, kind, name):
        it = self.objects.get((kind, name))
        return it and it["spec"]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head.first.split(" ", 2)
                body = await read_body(reader, head)
                status, answer = await self.handle(method, target, body)
                data = b"" if answer is None else json.dumps(answer).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")
        kind = parts[2] if len(parts) > 2 else ""
        name = parts[3] if len(parts) > 3 else None
        value = json.loads(body) if body else {}
        if self.fault is not None:
            result = await self.fault(method, kind, name, value)
            if result is not None:
                return result
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET" and name is None:
            items = [it for (of, _), it in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "has_more": False, "as_of": self.revision}
        known = self.objects.get((kind, name if name else value.get("metadata", {}).get("name")))
        if method == "GET":
            return (200, known) if known else (404, None)
        if method == "POST":
            if known:
                return 409, known
            return 200, await self.put(kind, value["metadata"]["name"], value["spec"])
        if not known:
            return 404, None
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, known
        expected = value.get("metadata", {}).get("revision")
        if expected is not None and expected != known["metadata"]["revision"]:
            return 409, known
        return 200, await self.put(kind, name, value["spec"])

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            events = [{"object": it, "deleted": gone} for at, of, it, gone in self.history if of == kind and at > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Instance:
    """One instance of chervilshunt, a process with the command of the deploy file."""

    count = 0

    def __init__(self, name, zone, store, folder, bounds=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing: build it as deploy/system.toml says")
        self.name = name
        self.zone = zone
        Instance.count += 1
        ip = own_ip(Instance.count)
        self.callers, self.readiness = (ip, 7001), (ip, 7002)
        self.log = os.path.join(folder, name + ".log")
        self.settings = os.path.join(folder, name + ".jsonc")
        self.values = {
            "instance": {"id": name, "zone": zone, "region": "region", "max_descriptors": 4100, "processor_share": 0.25},
            "addresses": {
                "callers": f"{ip}:7001",
                "readiness": f"{ip}:7002",
                "peers": f"{ip}:7003",
                "transit": f"{ip}:7005",
                "metrics": f"{ip}:7004",
            },
            "platform": {"address": store.address},
            "bounds": {
                "shutdown_s": 8, "lease_rest_ms": 3000, "retry_window_s": 10, "retry_ratio": 0.2, "retry_allowance": 54,
                **(bounds or {}),
            },
            "admission": {"plain_services": "off"},
            "log": {"level": "info"},
        }
        self.process = None
        self.is_first = True

    async def start(self):
        if not self.is_first:
            self.values["instance"]["first_start"] = False
        self.is_first = False
        with open(self.settings, "w", encoding="utf-8") as it:
            json.dump(self.values, it)
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--settings", self.settings, stdout=log, stderr=log, cwd=ROOT
            )

    async def ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"instance {self.name} has ended with {self.process.returncode}")
            try:
                answer = await call(self.readiness, "GET", "/ready", {}, limit=1)
                if answer.status == 200:
                    return
            except (OSError, Failed):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"instance {self.name} is not ready after {limit} s")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Failed(Exception):
    """A client's attempt without a complete answer."""


class Answer:
    def __init__(self, status, head, body):
        self.status = status
        self.head = head
        self.body = body


async def call(address, method, path, headers, body=b"", limit=15, seen=None):
    """Sends a request on a connection of its own, and returns its complete answer."""
    return await asyncio.wait_for(exchange(address, method, path, headers, body, seen), limit)


async def exchange(address, method, path, headers, body, seen):
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: flights.example"]
        lines += [f"{key}: {value}" for key, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise Failed("closed without an answer")
        status = int(head.first.split(" ")[1])
        try:
            return Answer(status, head, await read_body(reader, head, seen))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            raise Failed(f"{status}, and the answer breaks off") from None
    finally:
        writer.close()


class Engine:
    """A replica with a base model and adapters, at an address that stays over its restarts."""

    LAG = 0.2
    count = 0

    def __init__(self, name, service, store, record, model, adapter_slots, slots=8, load_s=0.6, adapter_s=0.25):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.model, self.adapter_slots, self.slots = model, adapter_slots, slots
        self.load_s, self.adapter_s = load_s, adapter_s
        Engine.count += 1
        self.ip, self.port = own_ip(100 + Engine.count), 8501
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.sequence = 0
        self.held = {}
        self.pending = {}
        self.has_model = True
        self.busy = False
        self.born = 0
        self.starts = 0
        self.overloaded = None
        self.running = 0
        self.reports = []
        # A function of (order) that returns how many seconds later an order is carried out without an answer.
        self.late = lambda order: None
        # The version of its software, and the number of events and their pause of a long stream.
        self.software = "v1"
        self.events, self.gap = 100, 0.1

    async def start(self):
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.sequence, self.busy, self.held, self.pending = 0, False, {}, {}
        self.has_model = self.starts == 1
        self.reports = []
        self.record.line(f"replica {self.name} starts (start {self.starts})")
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beating = self.spawn(self.beat())
        self.spawn(self.snapshots())

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def crash(self):
        """Ends as a crashed process does: everything that it ran or held is gone."""
        self.record.line(f"replica {self.name} crashes with {self.running} running requests")
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)
        self.running = 0

    def described(self):
        adapters = sorted(f"{name}@{version}" for name, version in self.held.items())
        return [{"name": self.model, "version": 1, "adapters": adapters}] if self.has_model else []

    async def beat(self):
        beats = 0
        while True:
            beats += 1
            spec = {
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": "here", "version": self.software,
                "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": beats, "born": self.born,
                "models": self.described(),
            }
            await self.store.put("servers", self.name, spec)
            await asyncio.sleep(1.2)

    def report(self):
        return {
            "stage": "colocated", "models": self.described(), "busy": self.busy, "sequence": self.sequence, "queued": 0,
            "active": self.running, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": self.born,
            "pending": [f"{self.model}/{name}@{version}" for name, version in self.pending.items()],
        }

    async def snapshots(self):
        while True:
            self.reports.append((time.monotonic(), self.report()))
            self.reports = self.reports[-50:]
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, path, _ = head.first.split(" ", 2)
                body = await read_body(reader, head)
                data = await self.handle(method, path, head, body, writer)
                if data is not None:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, head, body, writer):
        own = [("X-Chervilshunt-Instance-Id", self.name)]
        expected = head.get("x-chervilshunt-expect-instance")
        attempt = head.get("x-chervilshunt-attempt-id")
        if attempt:
            own.append(("X-Chervilshunt-Attempt-Id", attempt))
        if expected and expected != self.name:
            return answer_bytes(421, own, b"")
        if path == "/report":
            old = [it for at, it in self.reports if at <= time.monotonic() - self.LAG]
            report = old[-1] if old else self.report()
            return answer_bytes(200, own + [("Content-Type", "application/json")], json.dumps(report).encode())
        if path == "/order":
            return await self.ordered(json.loads(body), own)
        if not attempt:
            return answer_bytes(400, own + [("X-Chervilshunt-Not-Executed", "1")], b"")
        return await self.run(path, head, attempt, own, writer)

    async def run(self, path, head, attempt, own, writer):
        model, _, adapter = (head.get("x-chervilshunt-model") or "").partition("/")
        held = self.has_model and model == self.model and (not adapter or adapter in self.held)
        wanted = head.get("x-chervilshunt-expect-version")
        if not held or (wanted and adapter and int(wanted) != self.held[adapter]):
            return answer_bytes(421, own + [("X-Chervilshunt-Not-Executed", "1")], b"")
        self.record.line(f"replica {self.name} runs {attempt} with {model}/{adapter}")
        self.running += 1
        sealed = own + [("X-Chervilshunt-Server-Seal", "seal." + attempt), ("Content-Type", "text/event-stream")]
        try:
            if path.endswith("/long"):
                return await self.stream(head, sealed, writer)
            await asyncio.sleep(0.03)
        finally:
            self.running -= 1
        event = b"id: 1\ndata: tokens\n\n"
        return answer_bytes(200, sealed, event)

    async def stream(self, head, headers, writer):
        """Answers with a stream of events, which goes on after the last event that the request names."""
        lines = ["HTTP/1.1 200 OK"] + [f"{key}: {value}" for key, value in headers] + ["Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(int(head.get("last-event-id") or 0) + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.name} {self.software}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap)
        return b"0\r\n\r\n"

    async def ordered(self, order, own):
        delay = self.late(order)
        if delay is not None:
            self.record.line(f"replica {self.name} leaves order {order} unanswered, and carries it out {delay} s later")
            asyncio.ensure_future(self.carry_out_late(order, delay))
            await asyncio.sleep(3600)
        status = self.take(order)
        self.record.line(f"replica {self.name} answers {status} to order {order}")
        return answer_bytes(status, own, b"")

    async def carry_out_late(self, order, delay):
        """The order is on its way, so that a restart of the replica does not end it."""
        await asyncio.sleep(delay)
        sequence = self.sequence
        status = self.take(order)
        self.record.line(f"late order {order} reaches replica {self.name} (start {self.starts}, sequence {sequence}): {status}")

    def take(self, order):
        """Carries an order out if it is the next one, and returns the status of its answer."""
        if "holder" not in order or "fencing_token" not in order or order.get("model") != self.model:
            return 400
        if order.get("expected") is not None and order["expected"] != self.sequence:
            return 409
        if self.busy:
            return 409
        adapter = order.get("adapter")
        if order["operation"] == "model_load":
            return self.load_adapter(adapter, order.get("version") or 1) if adapter else self.load_model()
        if adapter is None or adapter not in self.held:
            return 200
        self.sequence += 1
        del self.held[adapter]
        return 200

    def load_model(self):
        if self.has_model:
            return 200
        self.sequence += 1
        self.busy = True

        async def load():
            await asyncio.sleep(self.load_s)
            self.has_model, self.busy = True, False

        self.spawn(load())
        return 202

    def load_adapter(self, adapter, version):
        if not self.has_model:
            return 421
        if self.held.get(adapter) == version:
            return 200
        if adapter in self.pending:
            return 202
        self.sequence += 1
        self.pending[adapter] = version
        taken = len(set(self.held) | set(self.pending))
        if taken > self.adapter_slots:
            self.overloaded = (adapter, taken)
            self.record.line(f"replica {self.name} is ordered to load {taken} adapters and has room for {self.adapter_slots}: it crashes")
            asyncio.ensure_future(self.crash())
            return 202

        async def load():
            await asyncio.sleep(self.adapter_s)
            self.pending.pop(adapter, None)
            self.held[adapter] = version

        self.spawn(load())
        return 202


class Plain(Engine):
    """A replica of a service without models."""

    def __init__(self, name, service, store, record, slots=6, work_s=0.03):
        super().__init__(name, service, store, record, "", 0, slots)
        self.work_s = work_s
        self.leaving = False
        # When each request reached it.
        self.reached = []

    def described(self):
        return []

    async def run(self, path, head, attempt, own, writer):
        self.reached.append((now(), attempt))
        self.record.line(f"replica {self.name} runs {attempt}")
        own = own + [("X-Chervilshunt-Server-Load", f"{self.running + 1},0,{self.slots}")]
        if self.leaving:
            own += [("Server-Leaving", "1"), ("Connection", "close")]
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return answer_bytes(200, own + [("X-Chervilshunt-Server-Seal", "seal." + attempt)], b"done by " + self.name.encode())

    async def leave_unannounced(self):
        """Leaves without reporting that it drains: its entry is removed, and it goes on serving. Returns when that was accepted."""
        self.leaving = True
        self.beating.cancel()
        await self.store.remove("servers", self.name)
        self.record.line(f"replica {self.name} leaves: the store has removed its entry")
        return now()


def configuration(version, routes, services):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
    }


def main(folder, case):
    """Runs a case: 1 if it returns that the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(sys.argv[1] if len(sys.argv) > 1 else os.path.join(folder, "record.txt"))
    instances = []

    async def run():
        with tempfile.TemporaryDirectory() as files:
            try:
                return await asyncio.wait_for(case(record, files, instances, trouble), 110)
            finally:
                for it in instances:
                    await it.kill()
                keep = os.environ.get("REVIEW_LOGS")
                if keep:
                    os.makedirs(keep, exist_ok=True)
                    for name in os.listdir(files):
                        with open(os.path.join(files, name), "rb") as it, open(os.path.join(keep, name), "wb") as out:
                            out.write(it.read())

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        record.line(f"the case could not run: {error!r}")
        sys.exit(2)
    record.line("rule BROKEN: " + broken if broken else "rule held")
    print("rule BROKEN: " + broken if broken else "rule held")
    sys.exit(1 if broken else 0)
