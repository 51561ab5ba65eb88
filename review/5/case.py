"""Clients that read their answers slowly while their node gets SIGTERM. See
claim.txt."""

import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import harness as h

ANSWER_BYTES = 2 << 20
# A client reads the head of its answer, does something else for this long, and
# reads the rest as fast as it comes.
PAUSE_S = 4.0
# Segments and buffers of an ordinary network, not of the loopback device.
SEGMENT_BYTES = 1448
RECEIVE_BYTES = 32 << 10
CLIENTS = 6
# SIGTERM comes this long after the requests.
SIGTERM_AFTER_S = 0.3
TIME_LEFT_MS = 12000


def read_slowly(port, data):
    """Sends one request; (status, bytes due, bytes read, why it ended)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.settimeout(5)
    sock.connect((h.IP, port))
    sock.sendall(data)
    it = h.reader(sock)
    try:
        got = it.head()
        if got is None:
            return 0, None, 0, "closed without an answer"
        status = int(got[0].split()[1])
        size = int(got[1]["content-length"])
        body = len(it.buf)
        time.sleep(PAUSE_S)
        while body < size:
            part = sock.recv(65536)
            if not part:
                return status, size, body, "end of the connection"
            body += len(part)
        return status, size, body, ""
    except (OSError, h.cut_off) as e:
        return status, size, body, repr(e)
    finally:
        sock.close()


def body(log, started):
    d = h.deployment(log, ["archive", "archive"])
    started.append(d)
    d.store.configure(1, [h.route("export", "/exports/", "idempotent",
                                  "archive", timeout_s=12,
                                  target_latency_s=6)], ["archive"])
    d.start()
    ends = [h.endpoint(p, "i-%d" % n, work_s=0.05, body=b"x" * ANSWER_BYTES)
            for n, p in enumerate(d.places)]
    for it in ends:
        it.run_beats()
    d.wait_served()

    node = d.places[0]
    cut, whole = [], []

    def one(number):
        ident = "r%d" % number
        sent = log.now()
        log("client at %s sends %s" % (node.name, ident))
        status, size, got, why = read_slowly(node.outbound, h.request_bytes(
            "GET", "/exports/%d" % number, h.HOST, ident, TIME_LEFT_MS))
        log("%s, after %.2f s: status %d, %d of %s bytes of body %s" %
            (ident, log.now() - sent, status, got, size, why))
        (whole if status == 200 and got == size else cut).append(ident)

    clients = [threading.Thread(target=one, args=(n,)) for n in range(CLIENTS)]
    for it in clients:
        it.start()
    time.sleep(SIGTERM_AFTER_S)
    if h.TROUBLE:
        node.signal(signal.SIGTERM)
        log("SIGTERM to %s; SIGKILL would follow %g s later" %
            (node.name, h.GRACE_S))
        stopped = time.monotonic()
        while (node.process.poll() is None and
               time.monotonic() < stopped + h.GRACE_S):
            time.sleep(0.01)
        log("%s %s %.2f s after the SIGTERM" %
            (node.name, "still runs" if node.process.poll() is None else
             "exited", time.monotonic() - stopped))
        if node.process.poll() is None:
            node.signal(signal.SIGKILL)
    for it in clients:
        it.join()
    ran = {i for e in ends for _, i, _ in e.runs}
    lost = [i for i in cut if i in ran]
    log("%d requests, %d whole answers, %d that an endpoint ran and whose "
        "answer was cut" % (CLIENTS, len(whole), len(lost)))
    return h.BROKEN if lost else h.HELD


h.run_case(HERE, body)
