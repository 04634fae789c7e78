"""Requests at a node that stops, in one process."""

import gevent

from tests.gateway_case import Answer, RelayCase, read_all


class ConnectionTests(RelayCase):
    """Guard against connections that invite requests that the node cannot answer."""

    # Guards against a decision that is made when the request is read and holds when it
    # is answered, after the stop has begun.
    def test_an_answer_during_the_stop_closes_its_connection(self):
        endpoint = self.add_endpoint("i-1")
        endpoint.work_seconds = 0.3
        sock = self.connect()
        keep_alive = {"Connection": "keep-alive"}
        sock.sendall(self.request_bytes("/safe/x", headers=keep_alive))
        gevent.sleep(0.1)
        self.server.drain()
        answer = Answer(read_all(sock))
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers.get("connection"), "close")
