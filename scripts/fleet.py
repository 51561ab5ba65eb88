#!/usr/bin/env python3
"""Starts deployments of nodes and stand-in targets on loopback, for the demo,
the experiments and the scaling measurement, and stops what it started."""

import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BIN = os.environ.get("REDWINGWIND_BIN", os.path.join(ROOT, "build", "bin"))
KEYS = "1:" + "5a" * 16


def read_config(path):
    """JSON with whole-line comments."""
    with open(path, encoding="utf-8") as file:
        text = re.sub(r"^\s*//.*$", "", file.read(), flags=re.M)
    return json.loads(text)


def system_port_range():
    with open("/proc/sys/net/ipv4/ip_local_port_range",
              encoding="ascii") as file:
        first, last = file.read().split()
    return range(int(first), int(last) + 1)


def free_ports(count):
    """Ports that are free for TCP and UDP. They lie outside the range from
    which the system numbers outgoing connections, so none of these takes one
    before its program is started."""
    own, held, ports = system_port_range(), [], []
    candidates = [it for it in range(10240, 65536) if it not in own]
    random.shuffle(candidates)
    for port in candidates:
        if len(ports) == count:
            break
        tcp = socket.socket()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            continue
        ports.append(port)
    for it in held:
        it.close()
    if len(ports) < count:
        raise RuntimeError(f"no {count} ports are free")
    return ports


def fetch(url, method="GET", body=None, timeout=5):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return json.loads(answer.read())


class Fleet:
    """One deployment: a platform, and a node and a target per endpoint."""

    def __init__(self, config_path, control, out_dir, seed=1, probe_ms=1000):
        self.config_path = config_path
        self.config = read_config(config_path)
        self.control = control
        self.out_dir = out_dir
        self.seed = seed
        self.probe_ms = probe_ms
        self.processes = []
        self.nodes = []
        os.makedirs(out_dir, exist_ok=True)

    def spawn(self, name, *arguments):
        log = open(os.path.join(self.out_dir, name + ".log"), "wb")
        environment = {k: v for k, v in os.environ.items()
                       if not k.startswith("RWW_")}
        process = subprocess.Popen(arguments, stdout=subprocess.PIPE,
                                   stderr=log, env=environment)
        log.close()
        self.processes.append(process)
        return process

    def start(self):
        platform = self.spawn("platform", os.path.join(BIN,
                                                       "stand-in-platform"))
        self.store = "http://127.0.0.1:" + platform.stdout.readline().decode()
        self.store = self.store.strip()
        count = sum(s["endpoints"] for s in self.config["services"])
        ports = free_ports(4 * count)
        for service in self.config["services"]:
            for n in range(service["endpoints"]):
                self.start_endpoint(service["name"], n,
                                    [ports.pop() for _ in range(4)])
        self.wait_until_together()

    def start_endpoint(self, service, n, ports):
        domains = self.config["domains"]
        call, peer, local, target = ports
        name = f"{service}-{n}"
        node = self.spawn(
            name, os.path.join(BIN, "redwingwind-node"), f"--name={name}",
            f"--call_port={call}", f"--peer_port={peer}",
            f"--local_port={local}", f"--domain={domains[n % len(domains)]}",
            f"--graph={self.config['graph']}", f"--keys={KEYS}",
            f"--store={self.store}", f"--control={self.control}",
            f"--probe_interval_ms={self.probe_ms}", "--usage_period_ms=2000",
            "--log_level=info")
        process = self.start_target(name, service, target, local)
        self.nodes.append({"name": name, "service": service, "call": call,
                           "local": local, "target": target, "peer": peer,
                           "node_process": node, "target_process": process})

    def start_target(self, name, service, port, local):
        self.seed += 1
        process = self.spawn(
            name + "-target", os.path.join(BIN, "stand-in-target"),
            f"--config={self.config_path}", f"--service={service}",
            f"--port={port}", f"--node_port={local}", f"--seed={self.seed}")
        process.stdout.readline()
        return process

    def wait_until_together(self, limit_s=30):
        end = time.time() + limit_s
        while time.time() < end:
            try:
                if all(self.sees_all(node) for node in self.nodes):
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError("the nodes did not find each other; logs are in "
                           + self.out_dir)

    def sees_all(self, node):
        status = fetch(f"http://127.0.0.1:{node['local']}/status")
        ready = sum(status["services"].values())
        return (status["members"]["alive"] == len(self.nodes)
                and ready == len(self.nodes))

    def ctl(self, *arguments):
        return subprocess.run(
            [os.path.join(BIN, "redwingwindctl"), f"--store={self.store}",
             f"--node=http://127.0.0.1:{self.nodes[0]['local']}", *arguments],
            capture_output=True, text=True, check=False)

    def configure(self):
        answers = os.path.join(os.path.dirname(self.config_path),
                               "questionnaire.json")
        for owner in read_config(answers)["owners"]:
            self.ctl("owner", "create", owner["name"])
        self.ctl("graph", "create", self.config["graph"])
        result = self.ctl("apply", answers, "--wait", "--author=fleet",
                          "--why=start")
        if result.returncode != 0:
            raise RuntimeError(result.stdout + result.stderr)

    def endpoints(self):
        return {
            "callers": [f"http://127.0.0.1:{n['call']}" for n in self.nodes],
            "targets": [{"service": n["service"],
                         "url": f"http://127.0.0.1:{n['target']}"}
                        for n in self.nodes],
            "nodes": [f"http://127.0.0.1:{n['local']}" for n in self.nodes]}

    def kill_domain(self, domain):
        """Kills the nodes of one failure domain, as when the instances go;
        the targets are left to tell what they had run."""
        for node in self.nodes[domain::len(self.config["domains"])]:
            node["node_process"].kill()

    def stop(self):
        for sign in (signal.SIGCONT, signal.SIGKILL):
            for process in self.processes:
                if process.poll() is None:
                    process.send_signal(sign)
        for process in self.processes:
            process.wait()
            process.stdout.close()
