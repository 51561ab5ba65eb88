"""TWICE: an endpoint sheds an order, and a second copy of that answer comes
late on the same connection, on which the node has sent the order again."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness as h

SEED = 20261205
ORDERS = 6000
# Entries of `garble`, 5 s each, one after the other.
LENGTH_S = 75.0
# The doses of the site file: `srv_grey` with `shed`, and `garble` with
# `extra late`.
SHED_SHARE = 0.14
EXTRA_SHARE = 0.03


class shedding(h.endpoint):
    """Sheds a share of what arrives, saying so. With the disruption, a small
    share of its answers comes twice: the second copy late, where the next
    answer on the connection is expected, under the id of its request."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.random = random.Random(SEED)
        self.copies = False
        self.answers = 0
        self.sheds = 0
        self.extra = 0

    def serve(self, sock):
        it = h.reader(sock)
        late = b""
        try:
            while True:
                got = it.head()
                if got is None:
                    break
                first, headers = got
                body = it.body(int(headers.get("content-length", "0")))
                ident = headers.get("request-id", "")
                if late:
                    self.record("%s sends a second copy, late: %r" %
                                (self.ident, late.split(b"\r\n")[:3]))
                    sock.sendall(late)
                    late = b""
                with self.lock:
                    self.answers += 1
                    sheds = self.random.random() < SHED_SHARE
                    again = self.random.random() < EXTRA_SHARE
                    self.sheds += sheds
                if sheds:
                    answer = ("HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Executed: 1\r\nRequest-Id: %s\r\n"
                              "Content-Length: 0\r\n\r\n" % ident).encode()
                    self.record("%s sheds %s" % (self.ident, ident))
                else:
                    answer = self.answer(first, headers, body)
                sock.sendall(answer)
                if again and h.TROUBLE and self.copies:
                    late = answer
                    self.extra += 1
        except (OSError, h.cut_off):
            pass
        with self.lock:
            self.connections.discard(sock)
        sock.close()


def body(log, started):
    d = h.deployment(log, ["orders", "shop", "orders"])
    started.append(d)
    d.store.configure(7, [h.route("r-order", "/order/", "non_idempotent",
                                  "orders", max_attempts=1),
                          h.route("r-shop", "/shop/", "idempotent", "shop")],
                      ["orders", "shop"])
    d.start()
    orders = shedding(d.places[0], "i-orders", work_s=0.042)
    # One endpoint of two sends copies: a share of 0.5, where 0.6 is named.
    orders.copies = True
    other = shedding(d.places[2], "i-other", work_s=0.042)
    shop = h.endpoint(d.places[1], "i-shop")
    orders.run_beats()
    shop.run_beats()
    other.run_beats()
    d.wait_served()
    time.sleep(h.HEARTBEAT_S)
    answers = {}

    def order(n):
        ident = "order-%04d" % n
        got = h.call(d.places[1].outbound, h.request_bytes(
            "POST", "/order/%d" % n, h.HOST, ident, 5000, b"{}"), 6)
        log("client: %s answered %s" % (ident, got))
        answers[ident] = got

    threads = []
    for n in range(ORDERS):
        threads.append(threading.Thread(target=order, args=(n,)))
        threads[-1].start()
        time.sleep(LENGTH_S / ORDERS)
    for it in threads:
        it.join()
    time.sleep(1)
    count = {}
    for _, ident, _ in orders.runs + other.runs:
        count[ident] = count.get(ident, 0) + 1
    twice = sorted(i for i, n in count.items() if n > 1)
    promised = sorted(i for i, it in answers.items()
                      if it.status in (408, 421, 429, 503) and i in count)
    log("%d orders sent, %d ran; %d answers of the two endpoints, of these %d "
        "sheds; %d second copies" % (ORDERS, len(count), orders.answers + other.answers,
                                     orders.sheds + other.sheds, orders.extra))
    for it in twice:
        log("TWICE: %s ran %d times" % (it, count[it]))
    for it in promised:
        log("REFUSED: %s was answered %s and has run" % (it, answers[it]))
    return h.BROKEN if twice or promised else h.HELD


h.run_case(FOLDER, body)
