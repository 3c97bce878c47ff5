"""Seeded load of streamed prompts and bookings; records the result of each request as seen by its caller."""
import dataclasses
import http.client
import json
import random
import socket
import threading
import time

from deployment import ENTRIES, ENTRY, HOST, MODEL, TEAM_KEY, http_json, now
from tokens import answer_text

DEADLINE = 15.0
# Callers give up 4 s after the deadline; a request that reaches this time-out violates G1.
CALLER_TIMEOUT = DEADLINE + 4
# Poll interval of the load balancer in seconds; must be shorter than the setting stop_delay (2 s).
POLL_INTERVAL = 1.0
# Prompt lengths of different requests differ by at least this many tokens, and every answer is shorter. The memory
# figure of a finished or cancelled record line therefore identifies the request even if its caller received no id.
SPACING = 128
SIZES = {"short": (SPACING, 8000), "medium": (8064, 60000), "long": (100096, 140000)}
# Request kinds and their weights: streams with short, medium and long prompts, non-streamed replies, slow readers,
# slow senders.
MIX = [("short", 14), ("medium", 4), ("long", 1), ("plain", 2), ("slow_reader", 1), ("slow_sender", 1)]
CALLERS, BOOKERS = 24, 3


@dataclasses.dataclass
class Request:
    """One HTTP exchange as seen by its caller. Times are seconds of the monotonic clock."""
    kind: str
    entry: int
    sent: float
    deadline: float = DEADLINE
    prompt: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    key: str = ""
    body_sent: float = 0
    first: float = 0
    last: float = 0
    ended: float = 0
    status: int = 0
    id: str = ""
    text: str = ""
    done: bool = False
    whole: bool = False
    error: str = ""
    outcome: str = ""
    message: str = ""
    broken: str = ""
    # Whether the last poll of the entry's /ready returned 200 before the request was sent.
    was_ready: bool = True


class Load:
    def __init__(self, seed):
        self.random = random.Random(seed)
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.requests = []
        # Result of the last poll of /ready, by entry.
        self.ready = {number: True for number in range(1, ENTRIES + 1)}
        self.next_prompt = {kind: low for kind, (low, _) in SIZES.items()}
        self.threads = []

    def start(self):
        workers = [(self.chat_loop, i) for i in range(CALLERS)] + [(self.book_loop, i) for i in range(BOOKERS)]
        threading.Thread(target=self.poll_ready, daemon=True).start()
        for target, number in workers:
            seed = self.random.randrange(1 << 60)
            thread = threading.Thread(target=target, args=(number, random.Random(seed)), daemon=True)
            self.threads.append(thread)
            thread.start()

    def stop(self):
        """Stops sending new requests and waits until all callers have ended; returns the time at which they have."""
        self.stopping.set()
        end = now() + CALLER_TIMEOUT + 8
        for thread in self.threads:
            thread.join(max(0.1, end - now()))
        return now()

    def poll_ready(self):
        while not self.stopping.is_set():
            for number in self.ready:
                try:
                    self.ready[number] = http_json(ENTRY + number, "GET", "/ready", timeout=0.5)[0] == 200
                except (OSError, http.client.HTTPException):
                    self.ready[number] = False
            time.sleep(POLL_INTERVAL)

    def pick_entry(self, turn):
        """Picks the next ready entry, as a load balancer does, or the next entry when none is ready."""
        wanted = 1 + turn % ENTRIES
        others = [number for number in self.ready if self.ready[number]]
        return wanted if self.ready[wanted] or not others else others[0]

    def record(self, request):
        request.was_ready = self.ready[request.entry]
        with self.lock:
            self.requests.append(request)
        return request

    # Model requests

    def new_prompt(self, size):
        with self.lock:
            tokens = self.next_prompt[size]
            low, high = SIZES[size]
            if tokens > high:
                return None
            self.next_prompt[size] = tokens + SPACING
        head = f"{size} {tokens} "
        return (head + "batting and brackets " * (tokens * 4 // 21 + 1))[:tokens * 4 - 2], tokens

    def chat_loop(self, number, rng):
        kinds, weights = zip(*MIX)
        time.sleep(rng.random())
        turn = number
        while not self.stopping.is_set():
            turn += 1
            kind = rng.choices(kinds, weights)[0]
            made = self.new_prompt(kind if kind in SIZES else "short")
            if made is None:
                made = self.new_prompt("medium")
                if made is None:
                    return
            request = Request(kind, self.pick_entry(turn), now(), prompt=made[0], prompt_tokens=made[1],
                              max_tokens=rng.randint(10, 100))
            self.record(request)
            self.chat(request)
            # A refused caller waits a short time before its next request, since refusals carry Retry-After.
            time.sleep(0.02 + (0.2 * rng.random() if not request.done else 0))

    def chat(self, request):
        body = {"model": MODEL, "messages": [{"role": "user", "content": request.prompt}],
                "max_tokens": request.max_tokens, "stream": request.kind != "plain"}
        connection = None
        try:
            connection = self.send(request, "/v1/chat/completions", json.dumps(body).encode())
            reply = http.client.HTTPResponse(connection)
            reply.begin()
            request.status = reply.status
            if reply.status != 200:
                self.read_error(request, reply.read())
            elif request.kind == "plain":
                answer = json.loads(reply.read())
                request.id = answer["id"]
                request.text = answer["choices"][0]["message"]["content"]
                request.first = request.last = now()
                request.done = request.whole = True
            else:
                self.read_stream(request, reply)
        except (OSError, http.client.HTTPException, ValueError, KeyError) as failure:
            request.broken = type(failure).__name__
        finally:
            request.ended = now()
            if connection is not None:
                connection.close()

    def send(self, request, path, body, headers=()):
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if request.kind == "slow_reader":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(CALLER_TIMEOUT)
        connection.connect((HOST, ENTRY + request.entry))
        lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {TEAM_KEY}",
                 f"X-Deadline-Ms: {int(request.deadline * 1000)}", "Content-Type: application/json",
                 f"Content-Length: {len(body)}", "Connection: close", *headers]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        if request.kind == "slow_sender":
            half = len(body) // 2
            connection.sendall(body[:half])
            time.sleep(2.0)
            body = body[half:]
        connection.sendall(body)
        request.body_sent = now()
        return connection

    def read_stream(self, request, reply):
        parts = []
        error = False
        for line in self.lines(request, reply):
            if line.startswith(b"event: error"):
                error = True
            elif error and line.startswith(b"data: "):
                self.read_error(request, line[6:])
                error = False
            elif line.startswith(b"data: [DONE]"):
                request.done = True
            elif line.startswith(b"data: "):
                event = json.loads(line[6:])
                if not request.first:
                    request.first, request.id = now(), event["id"]
                request.last = now()
                parts.append(event["choices"][0]["delta"].get("content", ""))
                # Updated with each event, so that the text received so far is kept when the connection breaks.
                request.text = "".join(parts)
        request.whole = request.done

    @staticmethod
    def lines(request, reply):
        """Yields the lines of a chunked reply. Uses read1, which raises IncompleteRead when the last chunk is missing;
        readline does not."""
        rest = b""
        while True:
            piece = reply.read1(512 if request.kind == "slow_reader" else 65536)
            if not piece:
                return
            *lines, rest = (rest + piece).split(b"\n")
            yield from lines
            if request.kind == "slow_reader":
                time.sleep(0.02)

    @staticmethod
    def read_error(request, text):
        try:
            error = json.loads(text)["error"]
            request.error, request.outcome = error.get("type", ""), error.get("outcome", "")
            request.message = error.get("message", "")
        except (ValueError, KeyError, TypeError):
            request.error = "unreadable"

    # Bookings

    def book_loop(self, number, rng):
        turn = number
        while not self.stopping.is_set():
            turn += 1
            self.book(f"{int(time.time())}-{rng.getrandbits(64):016x}", self.pick_entry(turn))
            time.sleep(0.05 + 0.1 * rng.random())

    def book(self, key, entry, sends=8):
        """Makes one booking. While the outcome is unknown, sends it again with the same key through the other entry."""
        for _ in range(sends):
            request = self.record(Request("book", entry, now(), key=key))
            connection = None
            try:
                connection = self.send(request, "/services/desk/orders", b'{"item":"roll","pieces":2}',
                                 [f"Idempotency-Key: {key}"])
                reply = http.client.HTTPResponse(connection)
                reply.begin()
                request.status = reply.status
                text = reply.read()
                if reply.status in (200, 201):
                    request.text, request.done, request.whole = text.decode(), True, True
                else:
                    self.read_error(request, text)
            except (OSError, http.client.HTTPException) as failure:
                request.broken = type(failure).__name__
            finally:
                request.ended = now()
                if connection is not None:
                    connection.close()
            unknown = request.broken or request.outcome == "unknown"
            if not unknown or request.error == "outcome_unknown":
                return request
            entry = entry % ENTRIES + 1
            time.sleep(0.3)
        return request


def expected(request):
    return answer_text(request.prompt, request.max_tokens)
