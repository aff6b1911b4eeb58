package org.magnolialead.transport.http;

import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.log.LogRateLimiter;
import org.magnolialead.transport.netty.NettySupport;

/**
 * HTTP/1.1 server with keep-alive and pipelining. The requests of a connection are
 * handled sequentially, and the responses are sent in the order of the requests.
 */
public final class HttpServer implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(HttpServer.class.getName());

	private static final int MAXIMUM_EVENT_LOOP_THREADS = 4;

	private static final int LINES_PER_SECOND = 10;

	private static final Duration DEFAULT_DRAIN_GRACE_PERIOD = Duration.ofSeconds(1);

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private final AtomicLong connectionNumbers = new AtomicLong();

	private final AtomicLong bodyBytes = new AtomicLong();

	private final LogRateLimiter logLimiter = new LogRateLimiter(LINES_PER_SECOND, MonotonicClock.SYSTEM.nanoseconds());

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private final EventLoopGroup eventLoops = NettySupport.eventLoops("http-server",
			Math.min(MAXIMUM_EVENT_LOOP_THREADS, Runtime.getRuntime().availableProcessors()));

	private final Duration drainGracePeriod;

	private final HttpServerSettings settings;

	private final HttpHandler handler;

	private final Executor executor;

	private final Channel listener;

	private volatile boolean draining;

	/**
	 * Starts a server.
	 * @param settings the settings
	 * @param handler handles the requests
	 * @param executor executor on which the handler is called
	 */
	public HttpServer(HttpServerSettings settings, HttpHandler handler, Executor executor) {
		this(settings, handler, executor, DEFAULT_DRAIN_GRACE_PERIOD);
	}

	/**
	 * Starts a server.
	 * @param settings the settings
	 * @param handler handles the requests
	 * @param executor executor on which the handler is called
	 * @param drainGracePeriod time for which idle connections stay open after
	 * {@link #stopAccepting()}
	 */
	HttpServer(HttpServerSettings settings, HttpHandler handler, Executor executor, Duration drainGracePeriod) {
		this.drainGracePeriod = Objects.requireNonNull(drainGracePeriod, "drainGracePeriod must not be null");
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.handler = Objects.requireNonNull(handler, "handler must not be null");
		this.executor = Objects.requireNonNull(executor, "executor must not be null");
		this.listener = NettySupport.listen(this.eventLoops, settings.host(), settings.port(),
				new PipelineInitializer());
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the local port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number of connections
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Starts draining: stops accepting connections, completes the requests in progress
	 * and closes each connection after its next response, or after a grace period if it
	 * stays idle. Without the grace period, a request that is sent while its connection
	 * is being closed would be lost.
	 */
	public void stopAccepting() {
		this.draining = true;
		this.listener.close().addListener((closed) -> {
			this.connections.forEach(HttpConnection::drain);
			completeIfDrained();
		});
	}

	/**
	 * Returns a future that completes when all connections are closed after
	 * {@link #stopAccepting()}.
	 * @return the future
	 */
	public CompletableFuture<Void> drained() {
		return this.drained.copy();
	}

	/**
	 * Closes all connections immediately and aborts the requests in progress.
	 */
	@Override
	public void close() {
		this.draining = true;
		this.listener.close();
		this.connections.forEach(HttpConnection::close);
		NettySupport.shutDown(this.eventLoops);
	}

	HttpServerSettings settings() {
		return this.settings;
	}

	Duration drainGracePeriod() {
		return this.drainGracePeriod;
	}

	boolean isDraining() {
		return this.draining;
	}

	/**
	 * Adds an open connection, even if the connection limit is exceeded. Then the oldest
	 * connection that has not sent a complete request is closed. A rejected connection
	 * stays open until its response is sent.
	 * @param connection the connection
	 * @return {@code false} if the limit is exceeded and the connection must be rejected
	 */
	boolean register(HttpConnection connection) {
		this.connections.add(connection);
		if (this.connections.size() <= this.settings.maximumConnections()) {
			return true;
		}
		Optional<HttpConnection> replaceable = this.connections.stream()
			.filter((other) -> other != connection && other.isReplaceable())
			.min(Comparator.comparingLong(HttpConnection::number));
		limitReached("connections", replaceable.orElse(connection));
		replaceable.ifPresent(HttpConnection::replace);
		return replaceable.isPresent();
	}

	long nextConnectionNumber() {
		return this.connectionNumbers.incrementAndGet();
	}

	/**
	 * Counts a part of a request body. Beyond the limit of all bodies, the connection
	 * whose body is largest has to refuse its request.
	 * @param connection connection that received the part
	 * @param bytes size in bytes
	 */
	void bodyReceived(HttpConnection connection, int bytes) {
		if (this.bodyBytes.addAndGet(bytes) <= this.settings.maximumTotalBodyBytes()) {
			return;
		}
		HttpConnection largest = this.connections.stream()
			.max(Comparator.comparingInt(HttpConnection::receivedBodyBytes))
			.orElse(connection);
		limitReached("bodies", largest);
		largest.refuseBody();
	}

	void bodyReleased(int bytes) {
		this.bodyBytes.addAndGet(-bytes);
	}

	private void limitReached(String limit, HttpConnection connection) {
		synchronized (this.logLimiter) {
			if (this.logLimiter.tryAcquire(MonotonicClock.SYSTEM.nanoseconds())) {
				LogEvent.HTTP_LIMIT_REACHED.log(LOGGER, limit, connection.remoteAddress(), this.bodyBytes.get(),
						this.connections.size(), this.logLimiter.takeDroppedLines());
			}
		}
	}

	void unregister(HttpConnection connection) {
		this.connections.remove(connection);
		completeIfDrained();
	}

	CompletableFuture<HttpServerResponse> handle(HttpServerRequest request) {
		CompletableFuture<HttpServerResponse> response = new CompletableFuture<>();
		try {
			this.executor.execute(() -> handle(request, response));
		}
		catch (RejectedExecutionException ex) {
			response.complete(HttpErrors.response(ex));
		}
		return response;
	}

	private void handle(HttpServerRequest request, CompletableFuture<HttpServerResponse> response) {
		try {
			this.handler.handle(request)
				.thenApply((result) -> Objects.requireNonNull(result, "response must not be null"))
				.exceptionally(HttpErrors::response)
				.thenAccept(response::complete);
		}
		catch (RuntimeException | Error ex) {
			response.complete(HttpErrors.response(ex));
		}
	}

	private void completeIfDrained() {
		if (this.draining && this.connections.isEmpty() && !this.listener.isOpen()) {
			this.drained.complete(null);
		}
	}

	private final class PipelineInitializer extends ChannelInitializer<Channel> {

		@Override
		protected void initChannel(Channel channel) {
			RequestDecoder decoder = new RequestDecoder(HttpServer.this.settings.maximumHeaderBytes());
			channel.pipeline()
				.addLast(decoder)
				.addLast(new HttpResponseEncoder())
				.addLast(new HttpConnection(HttpServer.this, decoder));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LogEvent.HTTP_CONNECTION_FAILED.log(LOGGER, cause, context.channel().remoteAddress());
			context.close();
		}

	}

}
