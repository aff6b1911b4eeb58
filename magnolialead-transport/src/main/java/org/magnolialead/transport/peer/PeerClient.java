package org.magnolialead.transport.peer;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Sends messages to other magnolialead processes over one connection per address.
 * Requests on a connection are multiplexed, so answers may arrive in any order.
 */
public final class PeerClient implements AutoCloseable {

	private static final int EVENT_LOOP_THREADS = 2;

	private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

	private final AtomicLong lastCorrelationId = new AtomicLong();

	private final PeerCodec codec = new PeerCodec();

	private final EventLoopGroup eventLoops;

	private final boolean ownsEventLoops;

	private final PeerConnectionSettings settings;

	private final MonotonicClock clock;

	private final Executor completionExecutor;

	private volatile boolean closed;

	/**
	 * Creates a client that completes its futures on its event loops; their dependents
	 * must not block.
	 * @param clock clock on which deadlines are based
	 */
	public PeerClient(MonotonicClock clock) {
		this(clock, Runnable::run);
	}

	/**
	 * Creates a client.
	 * @param clock clock on which deadlines are based
	 * @param completionExecutor executor on which the futures are completed
	 */
	public PeerClient(MonotonicClock clock, Executor completionExecutor) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.completionExecutor = Objects.requireNonNull(completionExecutor, "completionExecutor must not be null");
		this.eventLoops = NettySupport.eventLoops("peer-client", EVENT_LOOP_THREADS);
		this.ownsEventLoops = true;
		this.settings = PeerConnectionSettings.DEFAULT;
	}

	/**
	 * Creates a client on event loops of the caller, which also complete its futures.
	 * @param clock clock on which deadlines are based
	 * @param eventLoops event loops for all connections; not shut down by
	 * {@link #close()}
	 * @param settings timing of the connections
	 */
	public PeerClient(MonotonicClock clock, EventLoopGroup eventLoops, PeerConnectionSettings settings) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.eventLoops = Objects.requireNonNull(eventLoops, "eventLoops must not be null");
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.completionExecutor = Runnable::run;
		this.ownsEventLoops = false;
	}

	/**
	 * Sends a request.
	 * @param address peer address in the form {@code host:port}
	 * @param message the request
	 * @param deadline deadline of the request in nanoseconds of the clock
	 * @return a future of the answer. Fails with a {@link MagnolialeadException} whose
	 * peer is the address: with the code and step of the peer's
	 * {@link org.magnolialead.api.message.ErrorAnswer}, or with step {@code FORWARD} and
	 * code {@code UNREACHABLE} if the request was certainly not sent, {@code OVERLOADED}
	 * if too many bytes are queued for the connection, {@code NO_ANSWER} otherwise
	 * @throws IllegalArgumentException if the message cannot be encoded
	 */
	public CompletableFuture<Object> request(String address, Object message, long deadline) {
		return request(address, message, deadline, deadline);
	}

	/**
	 * Sends a request whose answer may be large. A slow link may need longer for it than
	 * a peer that does not respond may be waited for.
	 * @param address peer address in the form {@code host:port}
	 * @param message the request
	 * @param deadline deadline of the request in nanoseconds of the clock, unless the
	 * peer is sending at that time
	 * @param receiveDeadline deadline in nanoseconds of the clock while the peer is
	 * sending
	 * @return a future of the answer, which fails as that of
	 * {@link #request(String, Object, long)}
	 * @throws IllegalArgumentException if the message cannot be encoded
	 */
	public CompletableFuture<Object> request(String address, Object message, long deadline, long receiveDeadline) {
		long correlationId = this.lastCorrelationId.incrementAndGet();
		ByteBuf frame = this.codec.encode(correlationId, message);
		if (this.closed) {
			return CompletableFuture.failedFuture(closedFailure(address));
		}
		return connection(address).request(correlationId, frame, deadline, receiveDeadline);
	}

	/**
	 * Sends a message to which no answer is expected. The message is dropped if the peer
	 * is not reachable or too many bytes are queued for the connection.
	 * @param address peer address in the form {@code host:port}
	 * @param message the message
	 * @throws IllegalArgumentException if the message cannot be encoded
	 */
	public void send(String address, Object message) {
		ByteBuf frame = this.codec.encode(0, message);
		if (!this.closed) {
			connection(address).send(frame);
		}
	}

	/**
	 * Closes all connections. Requests in progress fail.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.connections.values().forEach(PeerConnection::close);
		if (this.ownsEventLoops) {
			NettySupport.shutDown(this.eventLoops);
		}
	}

	private PeerConnection connection(String address) {
		return this.connections.computeIfAbsent(address, (key) -> new PeerConnection(key, this.eventLoops.next(),
				this.codec, this.clock, this.completionExecutor, this.settings));
	}

	private static MagnolialeadException closedFailure(String address) {
		return new MagnolialeadException(ErrorCode.UNREACHABLE, Step.FORWARD, address, "the peer client is closed");
	}

}
