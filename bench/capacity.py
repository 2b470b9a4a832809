#!/usr/bin/env python3
"""Measures what control costs: processor time, memory and bytes of entry processes against sizes, on one machine.

Starts a stand-in platform and entry processes on loopback, measures each point over a fixed window with the
processes' own accounting (/proc) and the loopback counters, writes a CSV, fits a line per axis, and checks the
fit against a size that was held back. Usage: bench/capacity.py BINARY OUT.csv
"""
import csv
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

TICKS = os.sysconf("SC_CLK_TCK")
WINDOW_S = 5.0
TEAM_PATCH = {"teams": {"signal": {"share": 1, "cap": 1}}}


def cpu_s(pid):
    with open(f"/proc/{pid}/stat") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mib(pid):
    with open(f"/proc/{pid}/status") as f:
        for line in f:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def loopback_bytes():
    with open("/proc/net/dev") as f:
        for line in f:
            if line.strip().startswith("lo:"):
                return int(line.split(":")[1].split()[0])
    return 0


def call(port, method, path, body=None, timeout=15):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    connection.request(method, path, None if body is None else json.dumps(body), {"Content-Type": "application/json"})
    answer = connection.getresponse()
    data = answer.read()
    connection.close()
    return answer.status, json.loads(data) if data else {}


class System:
    """A stand-in platform and entry processes, all on loopback."""

    def __init__(self, binary, zones, entries, workers, base):
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        platform = base
        names = [(f"{z}e{i}", z) for z in zones for i in range(entries)]
        command = [binary, "stand-in", "--port", str(platform), "--workers", str(workers)]
        for zone in zones:
            command += ["--zone", zone]
        for name, zone in names:
            command += ["--entry", f"{name}={zone}"]
        self.platform = self.spawn(command)
        self.ports = {}
        for i, (name, zone) in enumerate(names):
            self.ports[name] = base + 1 + i
        self.entries = {}
        for i, (name, zone) in enumerate(names):
            lines = [f"name: {name}", f"zone: {zone}", f"callers: 127.0.0.1:{self.ports[name]}", "log_level: error",
                     f"peer_listen: 127.0.0.1:{base + 1000 + i}", f"platform: http://127.0.0.1:{platform}", "peers:"]
            for j, (other, other_zone) in enumerate(names):
                if other != name:
                    lines.append(f"  {other}: {{zone: {other_zone}, address: 127.0.0.1:{base + 1000 + j}}}")
            path = os.path.join(self.folder.name, name + ".yaml")
            with open(path, "w") as f:
                f.write("\n".join(lines) + ("\n" if len(names) > 1 else " {}\n"))
            self.entries[name] = self.spawn([binary, "serve", "--settings", path])
        self.leaders = self.wait_for_leaders(zones, workers)
        self.patch(TEAM_PATCH)

    def spawn(self, command):
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def wait_for_leaders(self, zones, workers):
        deadline = time.time() + 60
        leaders = {}
        while len(leaders) < len(zones) and time.time() < deadline:
            time.sleep(0.2)
            for name, port in self.ports.items():
                try:
                    _, status = call(port, "GET", "/v1/status")
                except OSError:
                    continue
                state = status.get("zone_state", {})
                if status.get("leading") and state.get("workers_open") == workers:
                    leaders[status["zone"]] = name
        if len(leaders) < len(zones):
            raise RuntimeError("the zones found no leaders")
        return leaders

    def patch(self, patch):
        port = next(iter(self.ports.values()))
        _, now = call(port, "GET", "/v1/config")
        number = now["version"]
        status, body = call(port, "POST", "/v1/config/patches", {"id": f"p{time.time_ns()}", "base": number, "patch": patch})
        if status != 200:
            raise RuntimeError(str(body))
        return body["version"]

    def wait_for_version(self, number):
        deadline = time.time() + 20
        waiting = set(self.ports.values())
        while waiting and time.time() < deadline:
            for port in list(waiting):
                if call(port, "GET", "/v1/config")[1]["version"] >= number:
                    waiting.discard(port)
        return not waiting

    def measure(self, seconds=WINDOW_S):
        leader = self.entries[next(iter(self.leaders.values()))].pid
        followers = [p.pid for n, p in self.entries.items() if n not in self.leaders.values()]
        before = cpu_s(leader), sum(map(cpu_s, followers)), loopback_bytes(), time.time()
        time.sleep(seconds)
        after = cpu_s(leader), sum(map(cpu_s, followers)), loopback_bytes(), time.time()
        took = after[3] - before[3]
        return {
            "leader_core_percent": 100 * (after[0] - before[0]) / took,
            "follower_core_percent": 100 * (after[1] - before[1]) / took / max(1, len(followers)),
            "loopback_bytes_per_s": (after[2] - before[2]) / took,
            "leader_rss_mib": rss_mib(leader),
            "follower_rss_mib": rss_mib(followers[0]) if followers else 0,
        }

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.folder.cleanup()


class Load(threading.Thread):
    """Sends requests at a steady rate from a few connections until stopped."""

    def __init__(self, ports, rate, make, path):
        super().__init__(daemon=True)
        self.ports, self.rate, self.make, self.path = ports, rate, make, path
        self.stopped = threading.Event()
        self.sent = 0

    def run(self):
        lanes = 8
        threads = [threading.Thread(target=self.lane, args=(i, lanes), daemon=True) for i in range(lanes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def lane(self, index, lanes):
        port = self.ports[index % len(self.ports)]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
        next_at = time.time() + index / self.rate
        n = 0
        while not self.stopped.is_set():
            pause = next_at - time.time()
            if pause > 0:
                time.sleep(pause)
            next_at += lanes / self.rate
            n += 1
            connection.request("POST", self.path, json.dumps(self.make(f"{os.getpid()}-{time.time_ns()}-{index}-{n}")))
            connection.getresponse().read()
            self.sent += 1

    def stop(self):
        self.stopped.set()
        self.join(25)


def short(name):
    return {"id": name, "kind": "short", "team": "signal", "urgency": "urgent", "deadline_ms": 5000,
            "resources": {"cpu_milli": 100, "memory_mib": 64, "slots": 1, "connections": 1}, "work": {"run_ms": 20, "echo": "x"}}


def batch(name):
    return {"id": name, "kind": "batch", "team": "signal", "urgency": "standard", "tasks": 10,
            "resources": {"cpu_milli": 100, "memory_mib": 64, "slots": 1}, "work": {"run_ms": 100, "echo": "x"}}


def fit(points):
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    sxx = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / sxx
    return slope, my - slope * mx


def report(axis, rows, held):
    for figure in ("leader_core_percent", "follower_core_percent", "loopback_bytes_per_s", "leader_rss_mib"):
        points = [(r["size"], r[figure]) for r in rows]
        slope, base = fit(points)
        residual = max(abs(y - (base + slope * x)) for x, y in points)
        predicted = base + slope * held["size"]
        print(f"{axis:18} {figure:24} {slope:10.4f} per unit  + {base:10.3f}  residual {residual:9.3f}"
              f"  held back at {held['size']}: predicted {predicted:10.3f} measured {held[figure]:10.3f}")


def main():
    binary, out = sys.argv[1], sys.argv[2]
    rows = []
    base = 20000

    def point(axis, size, system, held=False):
        figures = system.measure()
        row = {"axis": axis, "size": size, "held_back": held, **{k: round(v, 4) for k, v in figures.items()}}
        rows.append(row)
        print(row, flush=True)
        return row

    axes = {}
    for workers in (10, 25, 50, 95, 150):
        system = System(binary, ["a"], 3, workers, base)
        axes.setdefault("workers", []).append(point("workers", workers, system, workers == 150))
        system.stop()
        base += 100
    system = System(binary, ["a"], 3, 50, base)
    port = system.ports[next(iter(system.ports))]
    running = 0
    for tasks in (0, 90, 180, 270, 390):
        if tasks > running:
            call(port, "POST", "/v1/jobs", {**batch(f"svc{tasks}"), "kind": "service", "tasks": tasks - running, "work": {"run_ms": 10**8}})
            running = tasks
            time.sleep(3)
        axes.setdefault("running tasks", []).append(point("running tasks", tasks, system, tasks == 390))
    system.stop()
    base += 100
    for path, make, axis, sizes in (("/v1/requests", short, "short requests/s", (10, 20, 40, 80, 120)),
                                    ("/v1/jobs", batch, "job tasks/s", (10, 20, 40, 80, 120))):
        system = System(binary, ["a"], 3, 50, base)
        base += 100
        for rate in sizes:
            load = Load(list(system.ports.values()), rate if make is short else rate / 10, make, path)
            load.start()
            time.sleep(2)
            axes.setdefault(axis, []).append(point(axis, rate, system, rate == sizes[-1]))
            load.stop()
        system.stop()
    for zones in (1, 2, 4, 6, 10):
        system = System(binary, [f"z{i}" for i in range(zones)], 3, 2, base)
        base += 100
        axes.setdefault("zones of 3", []).append(point("zones of 3", zones, system, zones == 10))
        if zones == 10:
            system.patch({"teams": {f"team{i}": {"share": 1 + i, "cap": 0.5} for i in range(60)}})
            times = []
            for i in range(20):
                begun = time.time()
                number = system.patch({"teams": {f"team{i}": {"share": 99}}})
                system.wait_for_version(number)
                times.append(time.time() - begun)
            times.sort()
            print(f"61 teams, 30 processes: patch sent to in force everywhere, median {times[10]:.3f} s, most {times[-1]:.3f} s", flush=True)
        system.stop()
    for axis, points in axes.items():
        report(axis, points[:-1], points[-1])
    with open(out, "w", newline="") as f:
        writer = csv.DictWriter(f, rows[0].keys())
        writer.writeheader()
        writer.writerows(rows)


if __name__ == "__main__":
    main()
