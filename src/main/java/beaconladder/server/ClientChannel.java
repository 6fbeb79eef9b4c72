package beaconladder.server;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SocketChannel;

/** A client's connection, which never makes its user wait: it reads and writes what can be done at once. */
interface ClientChannel extends ByteChannel {
    /** Ends what is written; the other side may still write. */
    void shutdownOutput() throws IOException;

    /** The other side's address, or null where there is none. */
    default InetAddress from() {
        return null;
    }

    /** Over a socket. */
    record Real(SocketChannel channel) implements ClientChannel {
        @Override
        public int read(ByteBuffer into) throws IOException {
            return channel.read(into);
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            return channel.write(from);
        }

        @Override
        public InetAddress from() {
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
