"""A small deployment for the cases 6 to 8: control and entry processes with the settings templates of deploy/, stand-in
runners, an operator and consumers, all on loopback addresses. Only Python's standard library is used."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
BINARY = os.path.join(ROOT, "target", "verbenaproxy")

# The bounds of the site consola-ruter.
BOUNDS = dict(
    seed_lag_s=3, reuse_after_s=2, stability_window_ms=3000, ack_ms=4000, catchup_s=4, drain_ms=2000, grace_s=8,
    loss_slack_ms=200, config_ms=2000, rollback_slack_ms=250, outer_ms=5000, fail_closed=True, revoke_ms=5000,
    retry_ratio=0.2, retry_window_s=10, retry_slack=108, cold_overage=1.5, cold_slack=5, evac_ms=5000, recovery_s=12,
    pass_ms=120, retry_after_s=0, stall_ms=1500, hold_max_ms=20000, free_ms=4000, idle_max_ms=9000)

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not be played as described."""


def fill_template(text, fields):
    """Fills in the placeholders that the templates use. These deployments have no duties, so that section is empty."""
    text = re.sub(r"\{\{#cloud.*?\}\}.*?\{\{/cloud.*?\}\}\n?", "", text, flags=re.S)

    def value_of(match):
        value = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if isinstance(value, list) else value.get(name, "")
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Machine:
    def __init__(self, deployment, number, zone, disk):
        self.deployment, self.zone, self.disk = deployment, zone, disk
        self.ip = deployment.address(number)
        self.name = "edge-%s-%d" % (zone, number)
        self.seeds = None  # those of the deployment
        self.processes = {}

    @property
    def folder(self):
        return os.path.join(self.deployment.folder, "data", self.name)

    def start(self, role, bootstrap=False):
        base = self.deployment.port
        fields = dict(
            node=self.name, ip=self.ip, zone=self.zone, bootstrap=bootstrap, bounds=BOUNDS,
            listen=dict(front="%s:%d" % (self.ip, base + 1), ready="%s:%d" % (self.ip, base + 2),
                        control="%s:%d" % (self.ip, base + 3)),
            port_range=[str(base + 10), str(base + 11)],
            seeds=self.seeds if self.seeds is not None else self.deployment.seeds,
            limits=dict(cpu_share=0.45, cpus=1, memory_mb=260, max_fds=4100),
            data_dir=self.folder if self.disk and role == "control" else "",
            fault_tolerance=dict(machines=1, zones=1, regions=0))
        with open(os.path.join(ROOT, "deploy", role + ".ini"), encoding="utf-8") as template:
            text = fill_template(template.read(), fields)
        settings = os.path.join(self.deployment.folder, "%s-%s.ini" % (self.name, role))
        with open(settings, "w", encoding="utf-8") as out:
            out.write(text)
        with open(settings[:-4] + ".log", "ab") as log:
            process = subprocess.Popen([BINARY, role, "--config=" + settings], stdin=subprocess.DEVNULL, stdout=log,
                                       stderr=log)
        self.processes[role] = process
        self.deployment.started.append(process)

    def send_signal(self, number):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(number)

    def kill(self):
        """Ends all processes of the machine at once."""
        self.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()

    def lose_disk(self):
        shutil.rmtree(self.folder, ignore_errors=True)


class Deployment:
    def __init__(self, machines=3):
        if not os.access(BINARY, os.X_OK):
            raise CaseError("target/verbenaproxy is missing: run the build of deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="verbena-review-")
        draw = random.SystemRandom()
        while True:
            self.network = "127.%d.%d" % (draw.randint(20, 120), draw.randint(1, 250))
            self.port = draw.randint(11000, 29000)  # below the range of outgoing connections
            if self.is_free():
                break
        self.started = []
        self.machines = [Machine(self, i + 1, "abc"[i % 3], True) for i in range(machines)]
        self.seeds = [self.control_of(machine) for machine in self.machines[:3]]

    def is_free(self):
        """Whether no other process listens on the ports of the first machines and runners."""
        for number, offset in [(n, o) for n in (1, 2, 3, 10) for o in (1, 2, 3, 10, 11)] + [(50, 20), (51, 20), (101, 10)]:
            with socket.socket() as probe:
                try:
                    probe.bind((self.address(number), self.port + offset))
                except OSError:
                    return False
        return True

    def address(self, number):
        return "%s.%d" % (self.network, number)

    def control_of(self, machine):
        return "%s:%d" % (machine.ip, self.port + 3)

    def start(self):
        for machine in self.machines:
            for role in ("control", "entry"):
                machine.start(role, bootstrap=True)

    def stop(self):
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, headers (lower case) and body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    """One call on a new connection. Returns status, headers and body; status 0 if there was no answer."""
    async def go():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
            fields = {"Host": "%s:%d" % (ip, port), "Content-Length": str(len(data)), **(headers or {})}
            head = "%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % item for item in fields.items())
            writer.write(head.encode() + b"\r\n" + data)
            line, found, answer = await read_message(reader)
            return int(line.split()[1]), found, answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(go(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as failure:
        return 0, {}, repr(failure).encode()


async def call_control(deployment, machine, method, path, body=None):
    """A call to one machine that serves control; redirects are followed twice."""
    ip, port = machine.ip, deployment.port + 3
    for _ in range(3):
        status, headers, answer = await call(ip, port, method, path, body)
        if status != 307:
            break
        ip, text = headers["location"][len("http://"):].split("/")[0].split(":")
        port = int(text)
    return status, answer


async def operate(deployment, method, path, body=None, limit=4.0):
    """A call of the operator, sent again to another machine until it is answered. Returns status and body."""
    end = time.time() + limit
    status, answer = 0, b""
    while time.time() < end:
        for machine in random.sample(deployment.machines, len(deployment.machines)):
            status, answer = await call_control(deployment, machine, method, path, body)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, answer
        await asyncio.sleep(0.1)
    return status, answer


async def leader_of(deployment, document):
    """The machine that takes a change without a redirect."""
    for machine in deployment.machines:
        status, _, _ = await call(machine.ip, deployment.port + 3, "POST", "/verbenaproxy/Config.Put", document)
        if status == 200:
            return machine
    raise CaseError("no machine takes a change")


async def await_ready(deployment, machines=None, limit=15.0):
    end = time.time() + limit
    for machine in machines or deployment.machines:
        while (await call(machine.ip, deployment.port + 2, "GET", "/ready"))[0] != 200:
            if time.time() > end:
                raise CaseError("machine %s is not ready" % machine.name)
            await asyncio.sleep(0.05)


def route(name, kind, service="order-desk", attempts=1):
    return dict(name=name, host="desk.example", path_prefix="/%s/" % name, kind=kind, timeout_ms=2000, slo_ms=300,
                priority=2, backend=service, max_attempts=attempts, public=False, sticky=False, resumable=False)


def configuration(version):
    """A configuration with one order route and one look-up route, like those of the site."""
    return dict(
        version=version, routes=[route("order-place", "unsafe"), route("order-status", "safe", attempts=2)],
        backends=[dict(name="order-desk", health_path="/healthz", max_conns=54, protocol="h1", tls=False, cold_s=0.0,
                       cold_per_s=0.0)],
        limits=dict(max_header_bytes=16384, max_body_bytes=4194304, header_timeout_ms=3000, idle_timeout_ms=15000),
        tenants=[dict(name="tenant-1", api_keys=["key-1"])])


class Runner:
    """A sound runner of a plain service. Checks in about every 1.2 s and runs each request once it has its body."""

    def __init__(self, deployment, number, zone, service="order-desk", work_s=0.03):
        self.deployment, self.zone, self.service, self.work_s = deployment, zone, service, work_s
        self.ip, self.port = deployment.address(number), deployment.port + 20
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, id, method, path, body)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beats = asyncio.create_task(self.check_in_always())

    async def check_in_always(self):
        while True:
            self.sequence += 1
            state = dict(backend=self.service, addr="%s:%d" % (self.ip, self.port), zone=self.zone, version="v1", slots=6,
                         state="ready", cold_left_ms=0, stage="mixed", models=[], seq=self.sequence, born=self.born)
            for machine in random.sample(self.deployment.machines, len(self.deployment.machines)):
                status, _ = await call_control(self.deployment, machine, "POST",
                                               "/verbenaproxy/Runners.Heartbeat/" + self.id, state)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path = line.split()[:2]
                writer.write(await self.answer(method, path, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, headers, body):
        if path == "/verbenaproxy/report":
            text = json.dumps(dict(stage="mixed", models=[], busy=False, seq=0, born=self.born)).encode()
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text
        if path == "/healthz":
            return ("HTTP/1.1 200 OK\r\nRunner-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id).encode()
        request = headers.get("request-id", "")
        if headers.get("expect-runner", self.id) != self.id:
            return ("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                    % request).encode()
        self.runs.append((time.time(), request, method, path, body))
        await asyncio.sleep(self.work_s)
        text = ("done " + request).encode()
        return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nRunner-Seal: s.%s\r\nContent-Length: %d\r\n\r\n"
                % (request, self.id, len(text))).encode() + text


class Consumers:
    """Sends requests at a steady rate to the running machines and notes how each was answered."""

    def __init__(self, deployment, per_s=10):
        self.deployment, self.per_s = deployment, per_s
        self.answers = []  # (time sent, id, path, status)

    def start(self):
        self.task = asyncio.create_task(self.send_always())

    async def send_always(self):
        number = 0
        while True:
            number += 1
            asyncio.create_task(self.send_one("c%06d" % number, number % 2 == 0))
            await asyncio.sleep(1 / self.per_s)

    async def send_one(self, request, order):
        machine = random.choice(self.deployment.machines)
        method, path = ("POST", "/order-place/x") if order else ("GET", "/order-status/x")
        sent = time.time()
        status, _, _ = await call(machine.ip, self.deployment.port + 1, method, path, b"item" if order else None,
                                  {"Host": "desk.example", "Request-Id": request, "Authorization": "Bearer key-1",
                                   "Request-Deadline": "4000"}, timeout=4.5)
        self.answers.append((sent, request, path, status))

    def stop(self):
        self.task.cancel()


class Record:
    """Writes record.txt in the folder of the case."""

    def __init__(self, folder):
        self.begin = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text, at=None):
        print("%8.3f  %s" % ((at or time.time()) - self.begin, text), file=self.file, flush=True)


def record_traffic(record, consumers, runners):
    """Writes what was sent, answered and run, in the order of time."""
    lines = [(sent, "%s %s sent, answered %d" % (request, path, status)) for sent, request, path, status in consumers.answers]
    lines += [(at, "%s %s %s runs at %s" % (request, method, path, runner.id))
              for runner in runners for at, request, method, path, _ in runner.runs]
    for at, text in sorted(lines):
        record.line(text, at=at)


def final_fault_rules(record, answers, fault_at, back_at, version, read_back):
    """Checks RECOVER and the read-back of CONFIG after a final fault. Returns whether both held."""
    before = [status for sent, _, _, status in answers if sent < fault_at]
    after = [status for sent, _, _, status in answers if sent > back_at + BOUNDS["recovery_s"]]
    served_before, served_after = before.count(200), after.count(200)
    if len(before) < 20 or len(after) < 20 or served_before * 4 < len(before):
        raise CaseError("too few requests were served before the final fault")
    recovered = served_after * 4 >= len(after)
    came = any(status == 200 and json.loads(body)["version"] == version for status, body in read_back)
    record.line("RECOVER: served before the final fault %d of %d, later than %d s after the machines were back %d of %d: %s"
                % (served_before, len(before), BOUNDS["recovery_s"], served_after, len(after),
                   "held" if recovered else "BROKEN"))
    record.line("CONFIG: version %d, acknowledged before the final fault, was read back: %s" % (version, "yes" if came else
                "NO, BROKEN; the answers: %s" % sorted({status for status, _ in read_back})))
    return recovered and came


def run_case(folder, play):
    """Plays a case and exits with its result: 0 the rule held, 1 it was broken, 2 the case could not be played."""
    async def go():
        # Connections that are open when the case ends are cut without further ado.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        record = Record(folder)
        deployment = None
        try:
            deployment = Deployment()
            deployment.start()
            held = await asyncio.wait_for(play(deployment, record, os.environ.get("TROUBLE", "1") != "0"), 110)
            record.line("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except Exception as failure:  # a fault of the case itself says nothing about the rule
            record.line("the case could not be played: %r" % failure)
            return NOT_RUN
        finally:
            if deployment:
                deployment.stop()

    result = asyncio.new_event_loop().run_until_complete(go())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not played"}[result] + ": see record.txt", flush=True)
    os._exit(result)  # all processes have ended; open connections of the stand-ins need no orderly end
