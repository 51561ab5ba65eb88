"""Endpoints that shed, and extra copies of their answers that come late. See
claim.txt."""

import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import harness as h

# srv_grey, "shed all": the endpoint sheds this share of its requests.
SHED_SHARE = 0.45
# garble, "extra late": it sends a second copy of this share of its answers, at
# the point where the next answer is expected.
EXTRA_SHARE = 0.03
if not h.TROUBLE:
    SHED_SHARE = 0
    EXTRA_SHARE = 0
# To see which of the two does it: sheds alone break nothing.
if os.environ.get("ONLY") == "sheds":
    EXTRA_SHARE = 0
RATE = 40
LOAD_S = 40


class grey_endpoint(h.endpoint):
    def __init__(self, at, ident, seed):
        self.random = random.Random(seed)
        self.extras = 0
        super().__init__(at, ident, work_s=0.15)

    def serve(self, sock):
        it = h.reader(sock)
        extra = None
        try:
            while True:
                got = it.head()
                if got is None:
                    break
                first, headers = got
                body = it.body(int(headers.get("content-length", "0")))
                ident = headers.get("request-id", "")
                if extra:
                    self.extras += 1
                    self.record("%s sends its answer to %s once more, as %s "
                                "arrives" % (self.ident, extra[0], ident))
                    sock.sendall(extra[1])
                with self.lock:
                    sheds = self.random.random() < SHED_SHARE
                    again = self.random.random() < EXTRA_SHARE
                if sheds:
                    self.record("%s sheds %s" % (self.ident, ident))
                    data = (b"HTTP/1.1 503 Service Unavailable\r\n"
                            b"Request-Id: %s\r\nNot-Executed: 1\r\n"
                            b"Content-Length: 0\r\n\r\n" % ident.encode())
                else:
                    data = self.answer(first, headers, body)
                extra = (ident, data) if again else None
                sock.sendall(data)
        except (OSError, h.cut_off):
            pass
        with self.lock:
            self.connections.discard(sock)
        sock.close()


def body(log, started):
    d = h.deployment(log, ["payments", "front", "front"])
    started.append(d)
    d.store.configure(1, [h.route("payment", "/payments/", "non_idempotent",
                                  "payments")], ["payments", "front"])
    d.start()
    ends = [grey_endpoint(d.places[0], "i-0", 1),
            h.endpoint(d.places[1], "i-1"),
            h.endpoint(d.places[2], "i-2")]
    for it in ends:
        it.run_beats()
    d.wait_served()

    answers = {}

    def send(number):
        ident = "p%05d" % number
        at = d.places[number % 3]
        answers[ident] = h.call(at.outbound, h.request_bytes(
            "POST", "/payments/x", h.HOST, ident, 4000, b"pay"), 6)
        log("client at %s: %s -> %s" % (at.name, ident, answers[ident]))

    clients = []
    for number in range(RATE * LOAD_S):
        clients.append(threading.Thread(target=send, args=(number,)))
        clients[-1].start()
        time.sleep(1.0 / RATE)
    for it in clients:
        it.join()
    time.sleep(1)

    times = {}
    for it in ends:
        for _, ident, _ in it.runs:
            times[ident] = times.get(ident, 0) + 1
    twice = sorted(i for i, n in times.items() if n > 1)
    refused = sorted(i for i, a in answers.items()
                     if a.status in (408, 421, 429, 503) and i in times)
    log("%d payments, %d answered 200, %d extra answers" %
        (len(answers), sum(a.status == 200 for a in answers.values()),
         ends[0].extras))
    log("%d ran more than once: %s" % (len(twice), " ".join(twice)))
    log("%d were answered 503 and ran: %s" % (len(refused), " ".join(refused)))
    return h.BROKEN if twice or refused else h.HELD


h.run_case(HERE, body)
