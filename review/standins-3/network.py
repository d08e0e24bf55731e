"""A path between two machines that can reset its connections and be cut."""
import asyncio

# A sender that got no acknowledgement sends again after 0.2, 0.6, 1.4, 3.0 and
# 6.2 s: bytes that a cut of 5.5 s has held up arrive 0.7 s after its end.
RESEND_AFTER_CUT_S = 0.7


class Path:
    """Forwards the connections to `listen` on to `target`."""

    def __init__(self, listen, target, record, name):
        self.listen, self.target, self.record, self.name = listen, target, record, name
        self.connections = []
        self.is_cut = False
        self.healed = asyncio.Event()
        self.cut_at_next_data = False
        self.cut_begun = asyncio.Event()

    async def start(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self):
        self.server.close()
        self.healed.set()
        self.reset(quiet=True)

    def reset(self, quiet=False):
        if not quiet:
            self.record.note("connections of %s are reset" % self.name)
        for connection in self.connections:
            for writer in connection:
                writer.transport.abort()
        self.connections = []

    def cut(self):
        self.is_cut = True
        self.healed.clear()
        self.cut_begun.set()
        self.record.note("%s is cut" % self.name)

    def heal(self):
        self.is_cut = False
        self.healed.set()
        self.record.note("%s is whole again" % self.name)

    async def _serve(self, reader, writer):
        if self.is_cut:
            # The opening packet is lost. The dialler gives up and dials again.
            await self.healed.wait()
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = [writer, far_writer]
        self.connections.append(connection)
        answered = asyncio.Event()
        await asyncio.gather(self._forward(reader, far_writer, answered, True),
                             self._forward(far_reader, writer, answered, False))
        writer.close()
        far_writer.close()

    async def _forward(self, reader, writer, answered, is_up):
        held_up = False
        try:
            while True:
                data = await reader.read(65536)
                # The cut begins while the first bytes after the handshake are on
                # their way.
                if is_up and data and answered.is_set() and self.cut_at_next_data:
                    self.cut_at_next_data = False
                    self.cut()
                if self.is_cut:
                    held_up = True
                    await self.healed.wait()
                    await asyncio.sleep(RESEND_AFTER_CUT_S)
                    self.record.note("%s delivers %d bytes that were held up"
                                     % (self.name, len(data)))
                if not data:
                    break
                writer.write(data)
                await writer.drain()
                if not is_up:
                    answered.set()
        except (OSError, asyncio.CancelledError):
            pass
        try:
            writer.write_eof()
        except (OSError, RuntimeError):
            pass
