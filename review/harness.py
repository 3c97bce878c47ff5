"""Stand-ins for the platform, its runners and its consumers, and a small deployment of the project's programs.

A script starts three machines in three zones, each with an entry and a control process and a disk, as
deploy/system.toml names them. Each machine has a loopback address of its own, so that ports are the same on all.
The settings come from the templates in deploy/, filled in with the fields of DEPLOY.md.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "ficu95.example"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catchup_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
    "outer_ms": 5000, "fail_closed": True, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 112, "cold_overage": 1.5, "cold_slack": 5, "evac_ms": 5000, "recovery_s": 12, "pass_ms": 120,
    "retry_after_s": 0, "stall_ms": 1500, "hold_max_ms": 20000, "free_ms": 4000, "idle_max_ms": 9000}
ENGINE = {
    "slots": 16, "kv_capacity": 232000, "kv_token_bytes": 327680, "link_mbps": 400000.0, "stride": 43,
    "models": [{"name": "m"}], "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
    "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "load_per_s": 0.0,
    "loads_at_once": 8, "usual": {"prompt": 12331, "answer": 1303}, "hop_ms": 0.075}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, one JSON object a line."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="ascii")

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        self.file.write(json.dumps({"t": round(self.now(), 3), "what": kind, **fields}) + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, on_data=None):
    """Reads a body with a length, in chunks, or up to the end of the channel. Returns (body, complete)."""
    body = bytearray()

    def take(data):
        body.extend(data)
        if on_data:
            on_data(data)

    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size:
                    take(await reader.readexactly(size))
                await reader.readexactly(2)
                if size == 0:
                    return bytes(body), True
        if "content-length" in fields:
            left = int(fields["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    return bytes(body), False
                left -= len(data)
                take(data)
            return bytes(body), True
        while True:
            data = await reader.read(65536)
            if not data:
                return bytes(body), True
            take(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return bytes(body), False


async def http_call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One call on a channel of its own. Returns (status, fields, body); status 0 without a complete answer."""
    ip, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\nConnection: close\r\n"
            for name, value in (headers or {}).items():
                head += f"{name}: {value}\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            status_line, fields = await read_head(reader)
            content, complete = await read_body(reader, fields)
            return (int(status_line.split()[1]) if complete else 0), fields, content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, {}, b""


async def control_call(deployment, method, path, body=None, first=0, timeout=1.0):
    """A call of the operator or a runner: moves on after a failure and follows 307 twice."""
    text = b"" if body is None else json.dumps(body).encode()
    status, content = 0, b""
    for i in range(len(deployment.machines)):
        address = deployment.machines[(first + i) % len(deployment.machines)].control
        for _ in range(3):
            status, fields, content = await http_call(address, method, path,
                                                      {"Content-Type": "application/json"}, text, timeout)
            if status != 307:
                break
            where = re.match(r"http://([\d.]+):(\d+)", fields.get("location", ""))
            if not where:
                break
            address = (where.group(1), int(where.group(2)))
        if status and status < 500 and status not in (307, 408, 429):
            break
    return status, content


# ---------------------------------------------------------------- the deployment

def render(template, fields):
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Process:
    def __init__(self, role, machine, settings, log):
        self.role, self.machine, self.settings, self.log_path = role, machine, settings, log
        self.child = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["VERBENAPROXY_NODE_FILE"] = self.settings
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                [os.path.join(ROOT, "target/verbenaproxy"), self.role, "--config=" + self.settings], cwd=ROOT,
                env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def end(self):
        if self.running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()

    def memory_mb(self):
        """Memory that the process itself holds: anonymous pages, without files that it maps."""
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="ascii") as status:
                return sum(int(line.split()[1]) for line in status if line.startswith("RssAnon:")) / 1024
        except OSError:
            return 0.0


class Machine:
    def __init__(self, index, ip, ports, folder):
        self.index, self.ip, self.zone = index, ip, ZONES[index]
        self.front = (ip, ports["front"])
        self.ready = (ip, ports["ready"])
        self.control = (ip, ports["control"])
        self.folder = os.path.join(folder, f"machine-{index}")
        self.entry = self.control_process = None


class Deployment:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="verbena-review-")
        self.machines = []
        self.runners = []
        self.machine_of = {}  # the machine that a request was sent to
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.net = net
        ips = [f"{net}.{i + 1}" for i in range(3)]
        ports = self.free_ports(ips)
        seeds = [f"{ip}:{ports['control']}" for ip in ips]
        for i, ip in enumerate(ips):
            machine = Machine(i, ip, ports, self.folder)
            os.makedirs(machine.folder + "/data")
            for role in ("entry", "control"):
                fields = {
                    "node": f"edge-{machine.zone}-1", "role": role, "class": "edge", "serves": ["edge", "control"],
                    "ip": ip, "zone": machine.zone, "region": "region", "zones": {z: "region" for z in ZONES},
                    "listen": {"front": f"{ip}:{ports['front']}", "ready": f"{ip}:{ports['ready']}",
                               "control": f"{ip}:{ports['control']}"},
                    "port_range": [ports["range"], ports["range"] + 15], "seeds": seeds, "bootstrap": True,
                    "counts_as_loss": True,
                    "limits": {"cpu_share": 0.45, "cpus": 1, "memory_mb": 260, "max_fds": 4100,
                               "link_mbps": 1000.0, "disk_mb": 64},
                    "data_dir": machine.folder + "/data", "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                    "bounds": BOUNDS}
                with open(os.path.join(ROOT, f"deploy/{role}.ini"), encoding="utf-8") as template:
                    text = render(template.read(), fields)
                path = f"{machine.folder}/{role}.ini"
                with open(path, "w", encoding="utf-8") as out:
                    out.write(text)
                process = Process(role, machine, path, f"{machine.folder}/{role}.log")
                if role == "entry":
                    machine.entry = process
                else:
                    machine.control_process = process
            self.machines.append(machine)

    @staticmethod
    def free_ports(ips):
        for _ in range(50):
            base = random.randint(20000, 30000)
            ports = {"range": base, "front": base + 20, "ready": base + 21, "control": base + 22}
            held = []
            try:
                for ip in ips:
                    for port in (base, base + 1, base + 20, base + 21, base + 22):
                        held.append(socket.socket())
                        held[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        held[-1].bind((ip, port))
                return ports
            except OSError:
                continue
            finally:
                for item in held:
                    item.close()
        raise CannotRun("no free ports")

    def processes(self):
        return [p for m in self.machines for p in (m.control_process, m.entry)]

    def start(self):
        for process in self.processes():
            process.start()

    async def put_config(self, document, timeout=20.0):
        """Sends a configuration as the operator does, until it is acknowledged."""
        end = time.monotonic() + timeout
        first = 0
        while time.monotonic() < end:
            status, _ = await control_call(self, "POST", "/verbenaproxy/Config.Put", document, first, 2.0)
            if status == 200:
                self.record.add("config_acknowledged", version=document["version"])
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused with {status}")
            first += 1
            await asyncio.sleep(0.2)
        raise CannotRun("configuration not acknowledged")

    async def wait_ready(self, timeout=20.0):
        end = time.monotonic() + timeout
        for machine in self.machines:
            while (await http_call(machine.ready, "GET", "/ready"))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun("an entry does not get ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for process in self.processes():
            process.end()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, tenants):
    return {
        "version": version, "routes": routes,
        "backends": [
            {"name": "model-pool", "health_path": "/healthz", "max_conns": 454, "protocol": "h1", "tls": False,
             "cold_s": 0.0, "cold_per_s": 0.0, "engine": ENGINE},
            {"name": "order-desk", "health_path": "/healthz", "max_conns": 130, "protocol": "h1", "tls": False,
             "cold_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants}


def stream_route(name, prefix, timeout_ms, slo_ms, gap_ms):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "stream", "timeout_ms": timeout_ms,
            "slo_ms": slo_ms, "priority": 1, "backend": "model-pool", "max_attempts": 2, "public": False,
            "sticky": True, "resumable": True, "gap_target_ms": gap_ms}


def plain_route(name, prefix, kind, timeout_ms, slo_ms, attempts):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "slo_ms": slo_ms, "priority": 2, "backend": "order-desk", "max_attempts": attempts, "public": False,
            "sticky": False}


# ---------------------------------------------------------------- runners

class Runner:
    """A sound runner: model runners read prompts, stream events and keep reservations; plain ones answer."""

    def __init__(self, deployment, number, service, slots):
        self.deployment, self.record = deployment, deployment.record
        self.service, self.slots = service, slots
        self.id = f"i-{service}-{number}"
        self.zone = ZONES[number % 3]
        self.ip = f"{deployment.net}.{(100 if service == 'model-pool' else 150) + number}"
        self.port = 0
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = None
        self.tickets = {}  # reservations: id -> [tokens, end of the lease, used]
        self.running = 0
        self.channels = set()
        self.answer_trouble = None  # coroutine function(runner, kind, fields, writer): plays a trouble
        self.first_event_s = 0.0    # added to the time to the first event
        self.event_gap_s = 0.05
        self.framed = True          # otherwise answers have neither a length nor chunks and end with their channel
        self.serving = {}           # requests in work: id -> task
        self.beat_task = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.deployment.runners.append(self)
        self.beat_task = asyncio.ensure_future(self.beat())

    def stop(self):
        if self.beat_task:
            self.beat_task.cancel()
        if self.server:
            self.server.close()

    def tell(self, state="ready"):
        self.seq += 1
        return {"backend": self.service, "addr": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_left_ms": 0, "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.seq, "born": self.born}

    async def check_in(self, state="ready"):
        first = random.randrange(3)
        status, _ = await control_call(self.deployment, "POST", "/verbenaproxy/Runners.Heartbeat/" + self.id,
                                       self.tell(state), first)
        return status == 200

    async def beat(self):
        while True:
            accepted = await self.check_in()
            await asyncio.sleep(random.uniform(1.1, 1.3) if accepted else 0.3)

    async def crash(self, down_s):
        """The process ends and with it all its channels; it is back after a while as a new boot with a new id."""
        self.beat_task.cancel()
        self.server.close()
        self.record.add("runner_crashes", runner=self.id, requests=sorted(self.serving))
        for task in list(self.serving.values()):
            task.cancel()
        for writer in list(self.channels):
            writer.close()
        self.tickets.clear()
        await asyncio.sleep(down_s)
        self.id += "-again"
        self.born, self.seq = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beat_task = asyncio.ensure_future(self.beat())
        self.record.add("runner_is_back", runner=self.id)

    def expire(self):
        now = time.monotonic()
        self.tickets = {k: v for k, v in self.tickets.items() if v[1] > now}

    def free(self):
        self.expire()
        return ENGINE["kv_capacity"] - sum(v[0] for v in self.tickets.values())

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                request_line, fields = await read_head(reader)
                method, path, _ = request_line.split(" ", 2)
                body = b""
                if "content-length" in fields or "transfer-encoding" in fields:
                    body, complete = await read_body(reader, fields)
                    if not complete:
                        return
                if not await self.answer(method, path, fields, body, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, ConnectionError,
                ValueError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def send(self, writer, status, fields, body):
        head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    async def answer(self, method, path, fields, body, reader, writer):
        kind = "order" if path == "/verbenaproxy/order" else "report" if path == "/verbenaproxy/report" else \
               "health" if path == "/healthz" else "request"
        if self.answer_trouble and await self.answer_trouble(self, kind, fields, writer):
            return False
        if kind == "health":
            await self.send(writer, 200, {"Runner-Id": self.id}, b"")
        elif kind == "report":
            self.expire()
            report = {"stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "seq": 0, "queued": 0, "running": self.running, "kv_used": 0,
                      "kv_total": ENGINE["kv_capacity"], "handles": 0,
                      "tickets": [{"id": k, "tokens": v[0], "state": "used" if v[2] else "held", "age_ms": 0}
                                  for k, v in self.tickets.items()]}
            await self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        elif kind == "order":
            await self.order(body, writer)
        else:
            await self.request(method, path, fields, reader, writer)
        return True

    async def order(self, body, writer):
        order = json.loads(body)
        status = 400
        if order["op"] == "reserve":
            known = self.tickets.get(order["id"])
            status = 200 if known or order["tokens"] <= self.free() else 409
            if status == 200:
                used = known[2] if known else False
                self.tickets[order["id"]] = [order["tokens"], time.monotonic() + order["hold_ms"] / 1000, used]
        elif order["op"] == "release":
            self.tickets.pop(order["id"], None)
            status = 200
        self.record.add("order", runner=self.id, op=order["op"], id=order.get("id"), status=status)
        await self.send(writer, status, {"Content-Type": "application/json"},
                        json.dumps({"free": self.free()}).encode())

    async def request(self, method, path, fields, reader, writer):
        request_id = fields.get("request-id", "")
        base = {"Request-Id": request_id}
        if fields.get("expect-runner", self.id) != self.id:
            await self.send(writer, 421, {**base, "Not-Run": "1"}, b"")
            return
        held = []
        helpers = [h for h in fields.get("helpers", "").split(",") if h]
        by_address = {f"{r.ip}:{r.port}": r for r in self.deployment.runners}
        for helper in helpers:
            address, _, ticket = helper.partition("/")
            other = by_address.get(address)
            if other is not None:
                other.expire()
            if other is None or (ticket and ticket not in other.tickets):
                await self.send(writer, 503, {**base, "Not-Run": "1", "At-Server": address}, b"")
                return
            if ticket:
                held.append(other.tickets[ticket])
        if self.running >= self.slots + 24:
            await self.send(writer, 503, {**base, "Not-Run": "1"}, b"")
            return
        self.running += 1
        for ticket in held:
            ticket[2] = True
        self.serving[request_id] = asyncio.current_task()
        self.record.add("run", runner=self.id, id=request_id, path=path, tenant=fields.get("tenant"),
                        deadline=fields.get("request-deadline"), helpers=len(helpers),
                        last_event=fields.get("last-event-id"))
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.work(base, fields, helpers, writer))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.record.add("caller_closed", runner=self.id, id=request_id)
                raise ConnectionError
            work.result()
        finally:
            gone.cancel()
            if not work.done():
                work.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
            self.serving.pop(request_id, None)
            self.running -= 1
            for ticket in held:
                ticket[2] = False

    async def work(self, base, fields, helpers, writer):
        sealed = {**base, "Runner-Seal": "3e1b." + base["Request-Id"]}
        if self.service != "model-pool":
            await asyncio.sleep(0.03)
            await self.send(writer, 200, sealed, ("answer to " + base["Request-Id"]).encode())
            return
        prompt, output = (int(x) for x in fields.get("token-count", "100,40").split(","))
        read_ms = prompt / 206 + ENGINE["pairs_per_m"] * prompt * prompt / 2e6
        await asyncio.sleep(read_ms / 1000 / (len(helpers) + 1) + self.first_event_s)
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in sealed.items())
        framing = "Transfer-Encoding: chunked" if self.framed else "Connection: close"
        writer.write((head + f"Content-Type: text/event-stream\r\n{framing}\r\n\r\n").encode())
        first = int(fields["last-event-id"]) + 1 if "last-event-id" in fields else 1
        for number in range(first, max(1, output // 43) + 1):
            event = f"id: {number}\ndata: {base['Request-Id']} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n" if self.framed else event)
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        self.record.add("run_complete", runner=self.id, id=base["Request-Id"])
        if self.framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()


# ---------------------------------------------------------------- consumers

class Consumer:
    """Sends requests to one entry over a channel that it keeps."""

    def __init__(self, deployment, machine, key):
        self.deployment, self.machine, self.key = deployment, machine, key
        self.record = deployment.record
        self.reader = self.writer = None

    async def request(self, path, deadline_ms, tokens=None, method="POST", patience_s=None, body=b"hello",
                      keep=True):
        """Sends one request. Returns what the consumer saw of it."""
        request_id = f"{random.getrandbits(64):016x}"
        seen = {"id": request_id, "path": path, "status": 0, "events": 0, "complete": False, "sent": 0.0,
                "answered": None, "ended": None, "left": False, "kept": self.writer is not None, "body": b"",
                "machine": self.machine.index}
        headers = {"Host": HOST, "Request-Id": request_id, "Request-Deadline": str(deadline_ms)}
        if self.key is not None:
            headers["Authorization"] = "Bearer " + self.key
        if tokens:
            headers.update({"Model": "m", "Token-Count": f"{tokens[0]},{tokens[1]}",
                            "Prefix-Hash": f"5c1e07a2:40,{request_id[:8]}:{tokens[0] - 40}"})
        text = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        payload = b"" if method == "GET" else body
        if method != "GET":
            text += f"Content-Length: {len(payload)}\r\n"

        async def exchange():
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.machine.front)
            seen["sent"] = self.record.now()
            self.deployment.machine_of[request_id] = self.machine.index
            self.record.add("sent", id=request_id, path=path, machine=self.machine.index, kept=seen["kept"])
            self.writer.write(text.encode() + b"\r\n" + payload)
            await self.writer.drain()
            line, fields = await read_head(self.reader)
            seen["status"] = int(line.split()[1])
            seen["answered"] = self.record.now()
            seen["retry_after"] = fields.get("retry-after")

            def count(data):
                seen["events"] += data.count(b"id: ")

            seen["body"], seen["complete"] = await read_body(self.reader, fields, count)
            if fields.get("connection", "").lower() == "close" or not seen["complete"]:
                self.close()

        try:
            await asyncio.wait_for(exchange(), patience_s or deadline_ms / 1000)
        except asyncio.TimeoutError:
            seen["left"] = True
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        seen["ended"] = self.record.now()
        if not keep:
            self.close()
        self.record.add("ended", id=request_id, path=path, machine=self.machine.index, status=seen["status"],
                        complete=seen["complete"], events=seen["events"], left=seen["left"],
                        ms=round(1000 * (seen["ended"] - seen["sent"])))
        return seen

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# ---------------------------------------------------------------- frame of a script

def run_case(case_folder, play):
    """Plays `play(deployment, record, trouble)`, which returns whether the rule held, and exits."""
    record = Record(os.path.join(case_folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None

    async def guarded():
        return await asyncio.wait_for(play(deployment, record, trouble), 110)

    try:
        if not os.access(os.path.join(ROOT, "target/verbenaproxy"), os.X_OK):
            raise CannotRun("target/verbenaproxy is not built")
        deployment = Deployment(record)
        deployment.start()
        loop = asyncio.new_event_loop()
        held = loop.run_until_complete(guarded())
        code = 0 if held else 1
    except Exception as failure:  # also a fault of the stand-ins: the case could not run
        record.add("cannot_run", reason=repr(failure))
        print("cannot run:", repr(failure))
        code = 2
    finally:
        if deployment is not None:
            for runner in deployment.runners:
                runner.stop()
            deployment.stop()
    record.add("result", code=code, trouble=trouble)
    record.close()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
