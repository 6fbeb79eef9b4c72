package beaconladder.server;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SocketChannel;

/** A client's non-blocking connection: reads and writes transfer what is possible without waiting. */
interface ClientChannel extends ByteChannel {
    /** Half-closes the connection; the client may still write. */
    void shutdownOutput() throws IOException;

    /** The client's address, or null for a connection in memory. */
    default InetAddress remoteAddress() {
        return null;
    }

    /** A connection over a socket. */
    record OfSocket(SocketChannel channel) implements ClientChannel {
        @Override
        public int read(ByteBuffer target) throws IOException {
            return channel.read(target);
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            return channel.write(source);
        }

        @Override
        public InetAddress remoteAddress() {
            return channel.socket().getInetAddress();
        }

        @Override
        public void shutdownOutput() throws IOException {
            channel.shutdownOutput();
        }

        @Override
        public boolean isOpen() {
            return channel.isOpen();
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
