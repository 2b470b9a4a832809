#!/usr/bin/env python3
"""Measures how long urgent work waits when its zone's leader dies: SIGKILL or SIGSTOP, then one urgent request.

Usage: bench/takeover.py BINARY [ROUNDS]
"""
import signal
import subprocess
import sys
import time

from capacity import System, call, short


def follower_of(system, leader):
    return next(name for name in system.ports if name != leader)


def leader_now(system):
    for name, port in system.ports.items():
        if system.entries[name].poll() is None:
            status = call(port, "GET", "/v1/status")[1]
            if status.get("zone_state", {}).get("recovered") and status["zone_state"]["workers_open"] == status["zone_state"]["workers"]:
                return name
    return None


def one(system, how):
    leader = None
    while leader is None:
        time.sleep(0.3)
        leader = leader_now(system)
    time.sleep(1.5)
    port = system.ports[follower_of(system, leader)]
    process = system.entries[leader]
    process.send_signal(how)
    begun = time.time()
    request = short(f"probe-{time.time_ns()}")
    status, _ = call(port, "POST", "/v1/requests", request)
    took = time.time() - begun - request["work"]["run_ms"] / 1000
    if how == signal.SIGSTOP:
        process.send_signal(signal.SIGCONT)
    else:
        process.wait()
        arguments = process.args
        system.entries[leader] = subprocess.Popen(arguments, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        system.processes.append(system.entries[leader])
    return took if status == 200 else None


def main():
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    system = System(sys.argv[1], ["a"], 3, 95, 24000)
    for how in (signal.SIGKILL, signal.SIGSTOP):
        times = [one(system, how) for _ in range(rounds)]
        refused = times.count(None)
        good = sorted(t for t in times if t is not None)
        print(f"{how.name}: {rounds} rounds at 95 workers, refused {refused}, wait median {good[len(good) // 2]:.3f} s, most {good[-1]:.3f} s", flush=True)
    system.stop()


if __name__ == "__main__":
    main()
