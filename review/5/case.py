"""DRAIN: a heartbeat that arrives seconds late, after its endpoint has said
that it leaves, puts the endpoint back in use."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import harness as h

# How late the heartbeat arrives.
LATE_S = 3.0
# The endpoint goes on serving for drain_s after the acknowledgement and a
# little longer.
SERVES_ON_S = h.DRAIN_S + 4.0
ORDER_EVERY_S = 0.1


def body(log, started):
    d = h.deployment(log, ["orders", "orders", "shop"])
    started.append(d)
    d.store.configure(7, [h.route("r-order", "/order/", "non_idempotent",
                                  "orders"),
                          h.route("r-shop", "/shop/", "idempotent", "shop")],
                      ["orders", "shop"])
    d.start()
    leaving = h.endpoint(d.places[0], "i-leaving", work_s=0.5)
    staying = h.endpoint(d.places[1], "i-staying", work_s=0.5)
    shop = h.endpoint(d.places[2], "i-shop")
    for it in (leaving, staying, shop):
        it.run_beats()
    d.wait_served()
    # All machines are in touch: nothing happens for stability_window_s.
    time.sleep(3.2)
    stop = threading.Event()
    answers = {}
    sent = {}
    threads = []

    def order(n):
        ident = "order-%03d" % n
        sent[ident] = log.now()
        got = h.call(d.places[2].outbound, h.request_bytes(
            "POST", "/order/%d" % n, h.HOST, ident, 5000, b"{}"), 6)
        log("client: %s answered %s" % (ident, got))
        answers[ident] = got

    def load():
        n = 0
        while not stop.is_set():
            threads.append(threading.Thread(target=order, args=(n,)))
            threads[-1].start()
            n += 1
            time.sleep(ORDER_EVERY_S)

    driver = threading.Thread(target=load)
    driver.start()
    time.sleep(2)
    # The last heartbeat before the leave is on its way.
    leaving.beats = False
    time.sleep(h.HEARTBEAT_S)
    beat = leaving.beat_bytes()
    log("i-leaving sends heartbeat %d (ready); it is %s" % (
        leaving.sequence, "held up for %.1f s" % LATE_S if h.TROUBLE
        else "not late"))

    def deliver():
        got = h.call(d.places[0].control, beat, 1)
        log("heartbeat %d arrives at the node: %s" % (leaving.sequence, got))

    if h.TROUBLE:
        threading.Timer(LATE_S, deliver).start()
    else:
        deliver()
    time.sleep(1.0)
    got = leaving.leave()
    left = log.now()
    log("i-leaving says DELETE: %s" % got)
    if got.status != 200:
        raise RuntimeError("the leave was not acknowledged")
    time.sleep(SERVES_ON_S)
    log("i-leaving exits")
    leaving.end()
    time.sleep(1.5)
    stop.set()
    driver.join()
    for it in threads:
        it.join()
    late = [(t, i) for t, i, _ in leaving.runs if t > left + h.DRAIN_S]
    log("%d orders sent; %d reached i-leaving later than drain_s after the "
        "acknowledgement" % (len(answers), len(late)))
    cut = [i for t, i, _ in leaving.runs if answers[i].status != 200]
    log("%d orders had begun at i-leaving and were not answered by it: %s" %
        (len(cut), ["%s: %s" % (i, answers[i]) for i in cut]))
    for t, i in late:
        log("DRAIN: %s, sent %.2f s after the acknowledgement, reached "
            "i-leaving %.2f s after it and was answered %s" %
            (i, sent[i] - left, t - left, answers[i]))
    return h.BROKEN if late else h.HELD


h.run_case(FOLDER, body)
