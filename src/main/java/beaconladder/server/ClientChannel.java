package beaconladder.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SocketChannel;

/** A client's non-blocking connection: reads and writes transfer what is possible without waiting. */
interface ClientChannel extends ByteChannel {
    /** Closes the connection by a reset; what the client's system has not received yet is lost. */
    void reset() throws IOException;

    /**
     * From now on the selector reports the channel as writable only when the client's system has received nearly all
     * that was written. Nothing more must be written.
     */
    default void reportWhenFlushed() throws IOException {
        // A connection in memory holds nothing back.
    }

    /** The client's address, or null for a connection in memory. */
    default InetAddress remoteAddress() {
        return null;
    }

    /** A connection over a socket. */
    record OfSocket(SocketChannel channel) implements ClientChannel {
        private static final int END_OF_STREAM = -1;

        @Override
        public int read(ByteBuffer target) throws IOException {
            int bytesRead = channel.read(target);
            // The JDK returns a lower number where a signal has interrupted the call.
            return bytesRead < END_OF_STREAM ? 0 : bytesRead;
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
        public void reset() throws IOException {
            // Without this option the close of a registered channel first ends the connection in an orderly way.
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            channel.close();
        }

        @Override
        public void reportWhenFlushed() throws IOException {
            channel.setOption(StandardSocketOptions.SO_SNDBUF, 1);
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
