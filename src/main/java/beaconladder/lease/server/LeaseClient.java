package beaconladder.lease.server;

import beaconladder.discovery.HttpFetcher;
import beaconladder.lease.LeaseRequest;
import beaconladder.lease.LeaseResponse;
import beaconladder.lease.LeaseTable;
import beaconladder.membership.MembershipView;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A thread-safe client of the lease servers: it sends its requests to one of them, and after an error to the next. */
public final class LeaseClient implements AutoCloseable {
    private final List<HttpFetcher> servers;
    private final int timeoutMillis;
    private int currentServer;

    /** Parses a response of one type. */
    private interface ResponseReader<T> {
        T read(String text) throws InvalidLeaseMessageException;
    }

    /**
     * Creates a client of these servers.
     *
     * @param firstServer the index of the server to use first, modulo their number; different values spread clients
     *     over the servers
     * @param timeoutMillis the timeout of one call to one server
     */
    public LeaseClient(List<InetSocketAddress> addresses, int firstServer, int timeoutMillis) {
        this.servers = addresses.stream().map(HttpFetcher::new).toList();
        this.currentServer = Math.floorMod(firstServer, servers.size());
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Sends a request to one server, without a retry.
     *
     * @throws LeaseServersUnavailableException if the server did not respond in time; the next request goes to the next
     *     server
     * @throws InvalidLeaseMessageException if the response can't be parsed
     */
    public synchronized LeaseResponse send(LeaseRequest request)
            throws LeaseServersUnavailableException, InvalidLeaseMessageException {
        String query = URLEncoder.encode(LeaseJson.toJson(request), StandardCharsets.UTF_8);
        return LeaseJson.readResponse(get("/v1/lease?ask=" + query));
    }

    /**
     * Returns the leader's lease table, through the first server that responds.
     *
     * @throws LeaseServersUnavailableException if no server responds
     */
    public synchronized LeaseTable leases() throws LeaseServersUnavailableException {
        return getFromAny("/v1/leases", LeaseJson::readTable);
    }

    /**
     * Returns the membership view of the first server that responds.
     *
     * @throws LeaseServersUnavailableException if no server responds, or none takes part in the gossip
     */
    public synchronized MembershipView members() throws LeaseServersUnavailableException {
        return getFromAny("/v1/members", text -> LeaseJson.read(text, MembershipView.class));
    }

    private <T> T getFromAny(String path, ResponseReader<T> reader) throws LeaseServersUnavailableException {
        LeaseRequestException lastFault = null;
        for (int i = 0; i < servers.size(); i++) {
            try {
                return reader.read(get(path));
            } catch (LeaseServersUnavailableException e) {
                lastFault = e;
            } catch (InvalidLeaseMessageException e) {
                lastFault = e;
                useNextServer();
            }
        }
        throw new LeaseServersUnavailableException("no lease server responds", lastFault);
    }

    private String get(String path) throws LeaseServersUnavailableException {
        try {
            return servers.get(currentServer).get(path, timeoutMillis);
        } catch (IOException e) {
            String address = String.valueOf(servers.get(currentServer).address());
            useNextServer();
            throw new LeaseServersUnavailableException("lease server " + address + ": " + e.getMessage(), e);
        }
    }

    private void useNextServer() {
        currentServer = (currentServer + 1) % servers.size();
    }

    /** Closes the connections, even while another thread's call is in progress. */
    @Override
    public void close() {
        servers.forEach(HttpFetcher::close);
    }
}
