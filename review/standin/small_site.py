"""A small site on loopback: the platform's store, runners, clients, and entries as processes of their own.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Everything but the entries runs in one event loop, so that the record
has one clock. What a task does is said by its `spec`: `run MS [MOST]` ends `done` after MS to MOST, `last` runs until it is
stopped, `gang N MS` is one of N members that work MS together, with checkpoints.
"""
import asyncio
import base64
import bisect
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "skylarkhubd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.json.tmpl")

FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT = 8161, 8167, 8166, 7720, 9464
STORE_PORT, RUNNER_PORT = 8169, 8080

# Figures of tausi-hub, from its sheet and from the settings that DEPLOY.md shows.
ROW_BYTES = 65536
WRITES_PER_S, READS_PER_S = 600, 2000
PART_WRITES_PER_S = 150
READ_S, TRANSACTION_S = 0.004, 0.008
RETENTION_S = 20
MAX_HOLD_S = 10.0
STOP_S = 0.1  # stop-timeout-ms is 200
CHECKPOINT_S, RESTORE_S, GANG_TIMEOUT_S = 0.5, 0.1, 3.0
GRACE_S = 6.0
MEMORY_MB = 260
HEARTBEAT_S = 1.5
ENDS_LISTED = 500
HOST, PREFIX = "nony24.example", "/lohu930/"
HOST_B, PREFIX_B = "ficu95.example", "/pufi791/"
SERVICE = "huvo11a"


class Unrunnable(Exception):
    """The case could not run; says nothing about the rule."""


class Record:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def note(self, text):
        self.file.write("%9.3f  %s\n" % (time.monotonic() - self.began, text))

    def say(self, text):
        self.note(text)
        print("%7.1f  %s" % (time.monotonic() - self.began, text), flush=True)


# --- HTTP ---

class Server(asyncio.Protocol):
    """HTTP/1.1 with keep-alive. handler(method, target, headers, body, reply); reply(None) ends the connection."""

    def __init__(self, handler):
        self.handler, self.buffer, self.busy = handler, b"", False

    of = None  # the runner that listens, if it is one

    def connection_made(self, transport):
        self.transport = transport
        if self.of is not None:
            self.of.transports.add(transport)
            if not self.of.alive:
                transport.abort()

    def connection_lost(self, error):
        if self.of is not None:
            self.of.transports.discard(self.transport)

    def data_received(self, data):
        self.buffer += data
        self.take()

    def take(self):
        if self.busy:
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        if len(self.buffer) < end + 4 + size:
            return
        body = self.buffer[end + 4:end + 4 + size]
        self.buffer = self.buffer[end + 4 + size:]
        self.busy = True
        self.handler(method, target, headers, body, self.reply)

    def reply(self, status, body=None):
        if not self.busy:
            return
        self.busy = False
        if self.transport.is_closing():
            return
        if status is None:
            self.transport.close()
            return
        text = json.dumps(body if body is not None else {}, separators=(",", ":")).encode()
        self.transport.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
        asyncio.get_running_loop().call_soon(self.take)


async def call(address, method, target, headers=None, body=None, timeout=3.0):
    """Status and body; (None, reason) after no answer or a broken connection."""
    async def attempt():
        reader, writer = await asyncio.open_connection(*address)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            head = "%s %s HTTP/1.1\r\nConnection: close\r\nContent-Length: %d\r\n" % (method, target, len(text))
            for name, value in (headers or {}).items():
                head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n" + text)
            answer = await reader.readuntil(b"\r\n\r\n")
            size = re.search(rb"(?i)content-length: *(\d+)", answer)
            content = await (reader.readexactly(int(size.group(1))) if size else reader.read())
            return int(answer.split(b" ", 2)[1]), content.decode("utf-8", "replace")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(attempt(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return None, "broken connection: %s" % type(error).__name__


# --- the platform's store ---

class Store:
    def __init__(self, record):
        self.record, self.version, self.oldest = record, 0, 0
        self.rows, self.keys = {}, {}       # (table, part, key) -> [value, version, deleted]; (table, part) -> keys
        self.changes = {}                   # table -> [(version, row key)]
        self.recent = []                    # (time, version), for the history that the feed still shows
        self.feeds, self.part_free = [], {}
        self.calls = {"write": [], "read": []}
        self.silent = False                 # calls get no answer; the first write of each row is carried out afterwards
        self.late = {}
        self.refused_rows = 0
        self.lost_share, self.random = 0, random.Random(0)

    def handle(self, method, target, headers, body, reply):
        loop = asyncio.get_running_loop()
        path, _, query = target.partition("?")
        if self.silent:
            if path == "/rows-tx":
                asked = json.loads(body)
                self.late.setdefault(json.dumps(asked.get("expected-revision")), asked)
            loop.call_later(10, reply, None)
            return
        args = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        args = {k: unquote(v) for k, v in args.items()}
        now = loop.time()
        kind = "write" if path == "/rows-tx" else "read"
        window = self.calls[kind]
        window.append(now)
        while window and window[0] < now - 1:
            window.pop(0)
        if len(window) > (WRITES_PER_S if kind == "write" else READS_PER_S):
            reply(429)
        elif path == "/rows-tx":
            self.queue_transaction(json.loads(body), len(body), reply)
        elif path == "/rows-get":
            loop.call_later(READ_S, self.read, args, reply)
        elif path == "/rows-feed":
            loop.call_later(READ_S, self.feed, args, reply)
        elif path == "/rows-parts":
            parts = sorted({p for t, p in self.keys if t == args.get("table") and p > args.get("after", "")})[:1000]
            loop.call_later(READ_S, reply, 200, {"parts": parts, "schema-version": self.version})
        else:
            reply(404)

    def be_silent(self, seconds):
        """Down without a sign; a call that gets no answer may be performed seconds later if its condition holds."""
        self.record.say("the store is silent for %.1f s" % seconds)
        self.silent = True
        asyncio.get_running_loop().call_later(seconds, self.speak)

    def speak(self):
        self.record.say("the store answers again")
        self.silent = False
        for asked in self.late.values():
            self.transact(asked, lambda status, body=None: None)
        self.late = {}

    def lose(self, share, seconds, seed):
        self.record.say("the answers to %d%% of the writes are lost for %.1f s" % (100 * share, seconds))
        self.lost_share, self.random = share, random.Random(seed)
        asyncio.get_running_loop().call_later(seconds, self.lose_none)

    def lose_none(self):
        self.record.say("no further answer is lost")
        self.lost_share = 0

    def page(self, **more):
        return dict(more, **{"schema-version": self.version, "now-ms": int(time.monotonic() * 1000)})

    @staticmethod
    def row_key(entry):
        return entry["table"], entry.get("part", ""), entry["key"]

    def show(self, key):
        value, version, deleted = self.rows[key]
        shown = {"table": key[0], "part": key[1], "key": key[2], "schema-version": version}
        shown.update({"deleted": True} if deleted else {"value": value})
        return shown

    def queue_transaction(self, asked, size, reply):
        loop = asyncio.get_running_loop()
        entries = asked.get("expected-revision", []) + asked.get("put", []) + asked.get("remove", [])
        parts = {e.get("part", "") for e in entries}
        if len(entries) > 100 or size > 1 << 20 or len(parts) > 1:
            self.record.note("store: transaction of %d entries, %d bytes refused (400)" % (len(entries), size))
            reply(400)
            return
        for put in asked.get("put", []):
            held = len(base64.b64decode(put["value"]))
            if held > ROW_BYTES:
                self.refused_rows += 1
                self.record.note("store: transaction refused (400): row %s/%s/%s of %d bytes, row-bytes is %d; it has %d entries"
                                 % (self.row_key(put) + (held, ROW_BYTES, len(entries))))
                reply(400)
                return
        part = parts.pop() if parts else ""
        now = loop.time()
        start = max(now, self.part_free.get(part, 0))
        if start - now > 1:
            reply(429)
            return
        self.part_free[part] = start + 1 / PART_WRITES_PER_S
        if self.random.random() < self.lost_share:
            # Nothing further comes on the connection; the write is done 1 to 6 s later if its condition still holds.
            late = self.random.uniform(1, 6)
            for put in asked.get("put", []):
                self.record.note("store: write of %s/%s gets no answer, done in %.1f s" % (put["table"], put["key"], late))
            loop.call_later(late, self.transact, asked, lambda status, body=None: None)
            loop.call_later(10, reply, None)
            return
        loop.call_later(start - now + TRANSACTION_S, self.transact, asked, reply)

    def transact(self, asked, reply):
        def version_of(key):
            row = self.rows.get(key)
            return 0 if row is None or row[2] else row[1]
        if any(entry["table"] in ("op", "servers") for entry in asked.get("put", []) + asked.get("remove", [])):
            reply(403)
            return
        checked = [(self.row_key(c), c["schema-version"]) for c in asked.get("expected-revision", [])]
        if any(version_of(key) != version for key, version in checked):
            reply(412, self.page(rows=[self.show(key) for key, _ in checked if version_of(key)]))
            return
        self.version += 1
        for put in asked.get("put", []):
            self.write(self.row_key(put), put["value"], False)
        for removed in asked.get("remove", []):
            if version_of(self.row_key(removed)):
                self.write(self.row_key(removed), "", True)
        reply(200, self.page())
        self.wake_feeds()

    def write(self, key, value, deleted):
        if key not in self.rows:
            bisect.insort(self.keys.setdefault(key[:2], []), key[2])
        self.rows[key] = [value, self.version, deleted]
        self.changes.setdefault(key[0], []).append((self.version, key))
        self.recent.append((time.monotonic(), self.version))

    def put(self, table, key, value):
        """A write of the operator or of a runner."""
        self.version += 1
        self.write((table, "", key), base64.b64encode(value.encode()).decode(), False)
        self.wake_feeds()

    def remove(self, table, key):
        self.version += 1
        self.write((table, "", key), "", True)
        self.wake_feeds()

    def read(self, args, reply):
        table, part = args.get("table", ""), args.get("part", "")
        keys = self.keys.get((table, part), [])
        first = bisect.bisect_left(keys, args.get("from", ""))
        limit, rows, size, more = min(500, int(args.get("limit", 500))), [], 0, False
        for key in keys[first:]:
            if args.get("to") and key >= args["to"]:
                break
            row = self.rows[(table, part, key)]
            if row[2]:
                continue
            if len(rows) >= limit or size > 1 << 20:
                more = True
                break
            rows.append(self.show((table, part, key)))
            size += len(row[0])
        reply(200, self.page(rows=rows, **{"has-more": more}))

    def feed(self, args, reply):
        until = time.monotonic() + min(30000, int(args.get("wait-ms", 0))) / 1000
        self.feeds.append((args, reply, until))
        asyncio.get_running_loop().call_later(max(0, until - time.monotonic()) + 0.002, self.wake_feeds)
        self.wake_feeds()

    def wake_feeds(self):
        now = time.monotonic()
        while self.recent and self.recent[0][0] < now - RETENTION_S:
            self.oldest = max(self.oldest, self.recent.pop(0)[1])
        waiting, self.feeds = self.feeds, []
        for args, reply, until in waiting:
            after, table = int(args.get("after", 0)), args.get("table", "")
            if after < self.oldest:
                reply(410)
                continue
            log = self.changes.get(table, [])
            changed = log[bisect.bisect_right(log, (after, ("\U0010ffff",))):]
            newest = [(v, k) for v, k in changed if self.rows[k][1] == v]
            if not newest and now < until:
                self.feeds.append((args, reply, until))
                continue
            shown, last = [], None
            for version, key in newest:
                if len(shown) >= 500 and version != last:
                    break
                shown.append(self.show(key))
                last = version
            cut = len(shown) < len(newest)
            page = self.page(rows=shown)
            if cut:
                page["schema-version"] = last
            reply(200, page)


def unquote(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


# --- runners ---

class Runner:
    def __init__(self, site, number, address, cpu, memory):
        self.site, self.address = site, address
        self.number, self.rack, self.alive = number, "r1-%d" % (1 + number // 6), True
        self.id = "i-%08x" % (0x7f3a9100 + number)
        self.cpu, self.memory = cpu, memory
        self.clock_offset = 100.0 + 13.7 * number
        self.fence, self.cursor, self.count, self.sequence = 0, 0, 0, 0
        self.lease_until, self.lease_timer = None, None
        self.running, self.finished, self.highest, self.holds = {}, [], {}, []
        self.transports = set()
        self.listed = {}  # the checkpoint that was listed last, by task
        self.peak_unread = 0

    def clock_ms(self):
        return int((asyncio.get_running_loop().time() + self.clock_offset) * 1000)

    def report(self):
        self.sequence += 1
        self.site.store.put("servers", self.id, json.dumps({
            "service": SERVICE, "address": "%s:%d" % self.address, "zone": self.site.zone, "version": "v1",
            "capacity": 8, "state": "ready", "cold-remaining-ms": 0,
            "room": {"cpu": self.cpu, "mem-mb": self.memory, "gpus": 0}, "labels": ["a", self.rack],
            "clock-ms": self.clock_ms(), "sequence": self.sequence}))

    def crash(self, down_s, listed_s=3 * HEARTBEAT_S):
        """What runs here is gone. Another incarnation with a new ID comes at the address after `down_s`."""
        self.site.record.say("%s crashes" % self.id)
        loop = asyncio.get_running_loop()
        self.alive = False
        for task, run in list(self.running.items()):
            self.site.note_gone(self, task, run["run"])
            self.site.gangs.leave(self, task, run)
        if self.lease_timer:
            self.lease_timer.cancel()
        for transport in self.transports:
            transport.abort()
        loop.call_later(listed_s, self.site.store.remove, "servers", self.id)
        loop.call_later(down_s, self.come_back)

    def come_back(self):
        again = Runner(self.site, self.number, self.address, self.cpu, self.memory)
        again.id = "i-%08x" % (int(self.id[2:], 16) + 0x1000)
        self.site.runners[self.site.runners.index(self)] = again
        self.site.record.say("%s comes at the address of %s" % (again.id, self.id))
        again.report()

    def handle(self, method, target, headers, body, reply):
        if not self.alive:
            reply(None)
            return
        if target == "/health":
            reply(200)
            return
        if headers.get("x-target-instance") not in (None, self.id):
            self.answer(reply, 421)
            return
        order = json.loads(body)
        fence = order.get("fencing-token", 0)
        if fence < self.fence:
            self.answer(reply, 409, reason="fence")
            return
        self.fence = fence
        {"/run-start": self.start, "/run-stop": self.stop, "/hold": self.hold,
         "/pace": lambda o, r: self.answer(r, 200)}[target](order, reply)

    def answer(self, reply, status, **more):
        reply(status, dict(more, **{"clock-ms": self.clock_ms()}))

    def extend(self, order):
        if "deadline-ms" not in order:
            return True
        loop = asyncio.get_running_loop()
        asked = min(order["deadline-ms"] / 1000 - self.clock_offset, loop.time() + MAX_HOLD_S)
        if asked <= loop.time():
            return False
        if self.lease_until is None or asked > self.lease_until:
            self.lease_until = asked
            if self.lease_timer:
                self.lease_timer.cancel()
            self.lease_timer = loop.call_at(asked, self.lapse)
        return True

    def lapse(self):
        self.lease_until = None
        self.site.lapses.append((time.monotonic(), self))
        if self.running:
            self.site.record.note("%s lease ends, %d runs lapse" % (self.id, len(self.running)))
        for task in list(self.running):
            self.end(task, "lapsed")

    def start(self, order, reply):
        task, run = order["task"], order["run-id"]
        if not self.extend(order):
            self.answer(reply, 409, reason="late")
            return
        there = self.running.get(task)
        if there and there["run"] == run:
            self.answer(reply, 200)
            return
        if there or run <= self.highest.get(task, 0):
            self.answer(reply, 409, reason="old")
            return
        loop = asyncio.get_running_loop()
        words = order["spec"].split()
        entry = {"run": run, "timer": None, "began": loop.time(), "work": 0}
        if words[0] == "run":
            entry["work"] = int(words[1]) / 1000
            if len(words) > 2:  # tasks of a step differ; the same one takes the same time again
                entry["work"] += zlib.crc32(task.encode()) % 1000 / 1000 * (int(words[2]) - int(words[1])) / 1000
            entry["timer"] = loop.call_later(entry["work"], self.end, task, "done")
        self.running[task] = entry
        self.site.note_start(self, task, run, order["spec"], order.get("checkpoint", ""))
        if words[0] == "gang":
            self.site.gangs.join(self, task, entry, int(words[1]), int(words[2]) / 1000, order.get("checkpoint", ""))
        self.answer(reply, 200)

    def stop(self, order, reply):
        task, run = order["task"], order["run-id"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        there = self.running.get(task)
        if there and there["run"] <= run:
            asyncio.get_running_loop().call_later(STOP_S, self.end, task, "stopped", there["run"])
        self.answer(reply, 200)

    def end(self, task, how, run=None):
        there = self.running.get(task)
        if there is None or not self.alive or (run is not None and there["run"] != run):
            return
        saved = self.site.gangs.checkpoint(task, there) if how != "done" else ""
        del self.running[task]
        if there["timer"]:
            there["timer"].cancel()
        self.highest[task] = max(self.highest.get(task, 0), there["run"])
        self.count += 1
        self.finished.append([self.count, task, there["run"], how, saved])
        self.peak_unread = max(self.peak_unread, len(self.finished))
        self.site.note_end(self, self.count, task, there["run"], how)
        waiting, self.holds = self.holds, []
        for answer in waiting:
            answer()
        self.site.gangs.leave(self, task, there)

    def hold(self, order, reply):
        self.extend(order)
        cursor = order.get("ack-cursor", 0)
        if self.finished and self.finished[0][0] <= cursor:
            self.finished = [end for end in self.finished if end[0] > cursor]
        if cursor > self.cursor:
            self.cursor = cursor
            self.site.note_cursor(self, cursor)

        def answer():
            now = asyncio.get_running_loop().time()
            running = [[task, r["run"], self.site.gangs.checkpoint(task, r), self.percent(r, now), 20]
                       for task, r in self.running.items()]
            self.listed.update({row[0]: row[2] for row in running})
            self.answer(reply, 200, running=running, finished=self.finished[:ENDS_LISTED])
        wait = min(2000, order.get("wait-ms", 0)) / 1000
        if wait and not self.finished:
            self.holds.append(answer)
            asyncio.get_running_loop().call_later(wait, lambda: answer() if self.forget(answer) else None)
        else:
            answer()

    def percent(self, run, now):
        if "gang" in run:
            return self.site.gangs.percent(run)
        return 100 if run["timer"] is None else min(99, int(100 * (now - run["began"]) / run["work"]))

    def forget(self, answer):
        if answer in self.holds:
            self.holds.remove(answer)
            return True
        return False


class Gangs:
    """Members of one run of a gang: they work from the moment when all are there, and end together."""

    def __init__(self, site):
        self.site, self.runs = site, {}

    def join(self, runner, task, entry, count, work, checkpoint):
        loop = asyncio.get_running_loop()
        key = (task.rsplit(".", 1)[0], entry["run"])
        gang = self.runs.setdefault(key, {"members": {}, "began": None, "over": False, "work": work, "resumed": 0.0})
        gang["members"][task] = (runner, entry)
        entry["gang"] = gang
        entry["timer"] = loop.call_later(GANG_TIMEOUT_S, self.alone, runner, task, entry)
        if checkpoint:
            gang["resumed"] = max(gang["resumed"], int(checkpoint[:8], 16) / 1000)
        if len(gang["members"]) == count:
            gang["began"] = loop.time() + (RESTORE_S if gang["resumed"] else 0)
            for _, member in gang["members"].values():
                member["timer"].cancel()
            gang["timer"] = loop.call_later(work - gang["resumed"], self.done, gang)
            self.site.record.say("gang %s run %d works, all %d members are there" % (key + (count,)))

    def alone(self, runner, task, entry):
        runner.end(task, "alone", entry["run"])

    def done(self, gang):
        gang["over"] = True
        for task, (runner, entry) in list(gang["members"].items()):
            runner.end(task, "done", entry["run"])

    def leave(self, runner, task, entry):
        gang = entry.get("gang")
        if gang is None or gang["over"] or gang["began"] is None:
            return
        gang["saved"] = self.value(task, gang)
        gang["over"] = True
        gang["timer"].cancel()
        for other, (there, member) in list(gang["members"].items()):
            if other != task:
                there.end(other, "broken", member["run"])

    def worked(self, gang):
        spent = max(0, asyncio.get_running_loop().time() - gang["began"]) if gang["began"] is not None else 0
        return min(gang["work"], gang["resumed"] + spent)

    def percent(self, entry):
        return min(99, int(100 * self.worked(entry["gang"]) / entry["gang"]["work"]))

    def value(self, task, gang):
        saved = int(self.worked(gang) / CHECKPOINT_S) * CHECKPOINT_S
        return "%08x%s" % (int(saved * 1000), task[:8]) if saved else ""

    def checkpoint(self, task, entry):
        gang = entry.get("gang")
        if gang is None:
            return ""
        return gang["saved"] if "saved" in gang else self.value(task, gang)


# --- entries ---

class Entry:
    def __init__(self, site, number, ip):
        self.site, self.name, self.ip = site, "edge-%s-%d" % (site.zone, number + 1), ip
        self.process, self.lives, self.over_memory = None, 0, 0

    def settings(self):
        values = {"node-name": self.name, "zone": self.site.zone, "ip": self.ip,
                  "listen-addrs.front": "%s:%d" % (self.ip, FRONT_PORT),
                  "listen-addrs.ready-addr": "%s:%d" % (self.ip, READY_PORT), "port-range.0": PEER_PORT,
                  "platform.address": "%s:%d" % self.site.store_address, "recommendation": None,
                  "cloud-api.address": None, "limits.cores": 1, "limits.cpu-share": self.site.cpu_share}
        text = open(TEMPLATE).read()
        for name, value in values.items():
            text = text.replace("{{%s|json}}" % name, json.dumps(value))
            text = text.replace("{{%s}}" % name, "" if value is None else str(value))
        return text

    def start(self):
        self.lives += 1
        path = os.path.join(self.site.folder, self.name + ".json")
        with open(path, "w") as file:
            file.write(self.settings())
        log = open(os.path.join(self.site.folder, "%s-%d.log" % (self.name, self.lives)), "wb")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder, "LANG": "C.UTF-8",
               "SKYLARKHUB_NODE_FILE": path}
        self.process = subprocess.Popen([DAEMON, "--platform"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=subprocess.STDOUT)
        self.site.record.note("%s starts, process %d" % (self.name, self.process.pid))

    def send(self, number):
        self.site.record.say("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6
        except OSError:
            return 0

    async def owns_cells(self):
        status, text = await call((self.ip, METRICS_PORT), "GET", "/metrics", timeout=1)
        return status == 200 and len(re.findall(r"cell_owned\{[^}]*\} 1", text))


class Site:
    zone = "nbo-westlands"

    def __init__(self, folder, entries=3, runners=3, cpu=32000, memory=125000, cpu_share=1):
        self.case_folder, self.cpu_share = folder, cpu_share
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="skylarkhub-review-")
        pid = os.getpid()
        self.net = "127.%d.%d" % (1 + pid // 250 % 250, pid % 250)
        self.store = Store(self.record)
        self.store_address = (self.net + ".1", STORE_PORT)
        self.entries = [Entry(self, i, "%s.%d" % (self.net, 10 + i)) for i in range(entries)]
        self.runners = [Runner(self, i, ("%s.%d" % (self.net, 100 + i), RUNNER_PORT), cpu, memory)
                        for i in range(runners)]
        self.starts, self.ends, self.cursors, self.tasks = [], [], {}, []
        self.gangs, self.lapses = Gangs(self), []
        self.running_now = {}

    # What is seen at the runners.
    def note_start(self, runner, task, run, spec, checkpoint):
        now = time.monotonic()
        self.starts.append((now, runner, task, run, spec, checkpoint))
        self.running_now[task] = self.running_now.get(task, 0) + 1
        self.record.note("%s starts %s run %d%s" % (runner.id, task, run, checkpoint and " from checkpoint " + checkpoint))

    def note_gone(self, runner, task, run):
        self.ends.append((time.monotonic(), runner, 0, task, run, "gone"))
        self.running_now[task] -= 1
        self.record.note("%s is gone with %s run %d" % (runner.id, task, run))

    def note_end(self, runner, number, task, run, how):
        self.ends.append((time.monotonic(), runner, number, task, run, how))
        self.running_now[task] -= 1
        self.record.note("%s ends %s run %d %s, number %d" % (runner.id, task, run, how, number))

    def note_cursor(self, runner, cursor):
        self.cursors[runner] = cursor
        self.record.note("%s hears ack-cursor %d" % (runner.id, cursor))

    def config(self):
        route = {"type": "unsafe", "timeout-ms": 3000, "priority": 0, "service": SERVICE, "max-attempts": 4,
                 "slack-factor": 2.0, "target-latency-ms": 1000}
        return {"version": 7,
                "routes": [dict(route, name="r-wrr6x73", host=HOST, **{"path-prefix": PREFIX}),
                           dict(route, name="r-d3zji9n", host=HOST_B, **{"path-prefix": PREFIX_B})],
                "services": [{"name": SERVICE, "health-path": "/health", "max-connections": 64, "protocol": "h1",
                              "tls": False, "preconditions": False, "standby": False}],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                           "idle-timeout-ms": 15000}}

    async def begin(self):
        if not os.path.exists(DAEMON):
            raise Unrunnable("target/skylarkhubd is not built")
        loop = asyncio.get_running_loop()
        try:
            await loop.create_server(lambda: Server(self.store.handle), *self.store_address, backlog=512)
            for runner in self.runners:
                await loop.create_server(lambda i=runner.number: self.connect(i), *runner.address, backlog=512)
        except OSError as error:
            raise Unrunnable("address in use: %s" % error)
        self.store.put("op", "config", json.dumps(self.config()))
        self.tasks.append(loop.create_task(self.heartbeats()))
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await self.wait_for(lambda e=entry: self.is_ready(e), 15, "%s ready" % entry.name)
        await self.wait_for(self.owner, 15, "an owner of the cell")

    def connect(self, number):
        """A connection to whichever incarnation is at the address."""
        runner = self.runners[number]
        server = Server(runner.handle)
        server.of = runner
        return server

    async def heartbeats(self):
        while True:
            for runner in self.runners:
                if runner.alive:
                    runner.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def is_ready(self, entry):
        status, _ = await call((entry.ip, READY_PORT), "GET", "/ready", timeout=1)
        return status == 200

    async def owner(self):
        for entry in self.entries:
            if entry.alive() and await entry.owns_cells():
                return entry
        return None

    async def wait_for(self, condition, seconds, what, fatal=True):
        until = time.monotonic() + seconds
        while True:
            met = condition()
            met = await met if asyncio.iscoroutine(met) else met
            if met:
                return met
            if time.monotonic() > until:
                if fatal:
                    raise Unrunnable("no %s within %d s" % (what, seconds))
                return None
            await asyncio.sleep(0.05)

    async def request(self, entry, method, job, body=None, host=HOST, prefix=PREFIX, deadline_ms=3000):
        headers = {"Host": host, "Content-Type": "application/json", "X-Deadline": str(deadline_ms)}
        status, text = await call((entry.ip, FRONT_PORT), method, prefix + job, headers, body,
                                  timeout=deadline_ms / 1000)
        self.record.note("client: %s %s%s at %s -> %s %s" % (method, host, prefix + job, entry.name, status, text[:200]))
        return status, text

    async def submit(self, job, body, **how):
        """As a client does: the same ID again, at another entry, after no answer, a broken connection, 502 or 504."""
        for attempt in range(5):
            entry = [e for e in self.entries if e.alive()][attempt % len([e for e in self.entries if e.alive()])]
            status, _ = await self.request(entry, "POST", job, body, **how)
            if status is not None and status not in (502, 504):
                return status
            await asyncio.sleep(0.3)
        return None

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            if entry.alive():
                entry.process.send_signal(signal.SIGKILL)
            if entry.process:
                entry.process.wait()
        self.record.file.flush()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # TWICE: two runs of one task at a time, or a start after a run of it has ended `done`, if that end is taken note of
    # by ack-cursor then or later. An end on a runner whose lease has lapsed since doesn't count.
    def runs_twice(self):
        events = [(t, 1, r, task, run, None, None) for t, r, task, run, _, _ in self.starts]
        events += [(t, 0, r, task, run, how, n) for t, r, n, task, run, how in self.ends]
        events.sort(key=lambda e: e[:2])
        running, done, faults = {}, {}, []
        for at, is_start, runner, task, run, how, number in events:
            if not is_start:
                running.get(task, set()).discard((runner, run))
                if how == "done" and number <= self.cursors.get(runner, 0):
                    done[task] = (at, runner, run, number)
                continue
            if running.get(task):
                faults.append("%s run %d starts on %s while another run of it is there" % (task, run, runner.id))
            if task in done and not any(t > done[task][0] and r is done[task][1] for t, r in self.lapses):
                before, where, earlier, number = done[task]
                faults.append("%s run %d starts on %s %.2f s after run %d ended done on %s (number %d, taken note of)"
                              % (task, run, runner.id, at - before, earlier, where.id, number))
            running.setdefault(task, set()).add((runner, run))
        return faults


def main(folder, case):
    """Runs `case(site_factory, trouble)`, which returns the list of what broke the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = None
        try:
            def make(of=Site, **how):
                nonlocal site
                site = of(folder, **how)
                return site
            faults = await asyncio.wait_for(case(make, trouble), 110)
            for line in faults[:10]:
                site.record.say("BROKEN: " + line)
            site.record.say("%s: %d times" % ("the rule is broken" if faults else "the rule held", len(faults)))
            return 1 if faults else 0
        except (Unrunnable, asyncio.TimeoutError) as error:
            print("could not run: %s %s" % (type(error).__name__, error))
            return 2
        finally:
            if site:
                await site.end()
    try:
        sys.exit(asyncio.run(run()))
    except Exception as error:  # a fault of the script says nothing about the rule
        print("could not run: %r" % error)
        sys.exit(2)
