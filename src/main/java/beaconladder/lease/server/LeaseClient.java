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

/** A client of the lease servers: it uses one server after the other, until one responds. For several threads. */
public final class LeaseClient implements AutoCloseable {
    private final List<HttpFetcher> servers;
    private final int timeoutMillis;
    private int current;

    /** Reads a response of one type. */
    private interface ResponseReader<T> {
        T read(String text) throws InvalidLeaseMessageException;
    }

    /**
     * A client of these servers.
     *
     * @param first the index of the server that is tried first, so that clients are spread over them; any number
     * @param timeoutMillis for one call to one server
     */
    public LeaseClient(List<InetSocketAddress> addresses, int first, int timeoutMillis) {
        this.servers = addresses.stream().map(HttpFetcher::new).toList();
        this.current = Math.floorMod(first, servers.size());
        this.timeoutMillis = timeoutMillis;
    }

    /**
     * Sends a request to one server, once.
     *
     * @throws LeaseServersUnavailableException where it has not responded in time: the next request goes to the next
     *     server
     * @throws InvalidLeaseMessageException where its response can't be read
     */
    public synchronized LeaseResponse send(LeaseRequest request)
            throws LeaseServersUnavailableException, InvalidLeaseMessageException {
        String query = URLEncoder.encode(LeaseJson.toJson(request), StandardCharsets.UTF_8);
        return LeaseJson.readResponse(get("/v1/lease?ask=" + query));
    }

    /**
     * All leases as the leader has them, from the first server that responds.
     *
     * @throws LeaseServersUnavailableException where none does
     */
    public synchronized LeaseTable leases() throws LeaseServersUnavailableException {
        return getFromAny("/v1/leases", LeaseJson::readTable);
    }

    /**
     * The members of the fleet as the first server that responds knows them.
     *
     * @throws LeaseServersUnavailableException where none does, or none takes part in the gossip
     */
    public synchronized MembershipView members() throws LeaseServersUnavailableException {
        return getFromAny("/v1/members", text -> LeaseJson.read(text, MembershipView.class));
    }

    private <T> T getFromAny(String path, ResponseReader<T> reader) throws LeaseServersUnavailableException {
        LeaseRequestException last = null;
        for (int i = 0; i < servers.size(); i++) {
            try {
                return reader.read(get(path));
            } catch (LeaseServersUnavailableException e) {
                last = e;
            } catch (InvalidLeaseMessageException e) {
                last = e;
                useNextServer();
            }
        }
        throw new LeaseServersUnavailableException("no lease server responds", last);
    }

    private String get(String path) throws LeaseServersUnavailableException {
        try {
            return servers.get(current).get(path, timeoutMillis);
        } catch (IOException e) {
            String address = String.valueOf(servers.get(current).address());
            useNextServer();
            throw new LeaseServersUnavailableException("lease server " + address + ": " + e.getMessage(), e);
        }
    }

    private void useNextServer() {
        current = (current + 1) % servers.size();
    }

    /** Closes the connections, also under a call of another thread. */
    @Override
    public void close() {
        servers.forEach(HttpFetcher::close);
    }
}
