"""A front end that sends prepared responses, on a port of its own."""

from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
from threading import Thread


@contextmanager
def run_frontend(responses):
    """Serve ``responses`` and yield the URL and the list of requests.

    ``responses`` maps a method and a path to a status and a document. A
    document of bytes is sent unchanged, any other one as JSON. None instead
    of a status and a document closes the connection without a response.
    """
    requests = []

    class Handler(BaseHTTPRequestHandler):
        def respond(self):
            size = int(self.headers.get('Content-Length') or 0)
            body = json.loads(self.rfile.read(size)) if size else None
            requests.append((self.command, self.path, self.headers, body))
            path = self.path.partition('?')[0]
            response = responses.get((self.command, path), (404, {}))
            if response is None:
                self.close_connection = True
                return
            status, document = response
            content = document
            if not isinstance(document, bytes):
                content = json.dumps(document).encode()
            self.send_response(status)
            self.send_header('Content-Length', str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        do_GET = do_PUT = do_POST = do_DELETE = respond

        def log_message(self, *arguments):
            pass

    server = ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    thread = Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield f'http://127.0.0.1:{server.server_port}', requests
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
