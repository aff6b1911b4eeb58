package org.magnolialead.transport.http;

import java.lang.System.Logger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.transport.netty.NettySupport;

/**
 * HTTP/1.1 server with keep-alive and ordered pipelining. The requests of one connection
 * are handled one after the other.
 */
public final class HttpServer implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(HttpServer.class.getName());

	private static final int MAXIMUM_EVENT_LOOP_THREADS = 4;

	private static final Duration DEFAULT_DRAIN_GRACE = Duration.ofSeconds(1);

	private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private final EventLoopGroup loops = NettySupport.eventLoops("http-server",
			Math.min(MAXIMUM_EVENT_LOOP_THREADS, Runtime.getRuntime().availableProcessors()));

	private final Duration drainGrace;

	private final HttpServerSettings settings;

	private final HttpHandler handler;

	private final Executor executor;

	private final Channel listener;

	private volatile boolean draining;

	/**
	 * Starts a server.
	 * @param settings the settings
	 * @param handler handles the requests
	 * @param executor runs the handler
	 */
	public HttpServer(HttpServerSettings settings, HttpHandler handler, Executor executor) {
		this(settings, handler, executor, DEFAULT_DRAIN_GRACE);
	}

	/**
	 * Starts a server.
	 * @param settings the settings
	 * @param handler handles the requests
	 * @param executor runs the handler
	 * @param drainGrace time that idle connections stay open after
	 * {@link #stopAccepting()}
	 */
	HttpServer(HttpServerSettings settings, HttpHandler handler, Executor executor, Duration drainGrace) {
		this.drainGrace = Objects.requireNonNull(drainGrace, "drainGrace must not be null");
		this.settings = Objects.requireNonNull(settings, "settings must not be null");
		this.handler = Objects.requireNonNull(handler, "handler must not be null");
		this.executor = Objects.requireNonNull(executor, "executor must not be null");
		this.listener = NettySupport.listen(this.loops, settings.host(), settings.port(), new Initializer());
	}

	/**
	 * Returns the local port.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int connectionCount() {
		return this.connections.size();
	}

	/**
	 * Starts to drain: accepts no more connections, finishes the requests in progress and
	 * closes each connection with its next answer, or after a grace period if it stays
	 * idle. Without this period, a request sent at the moment of closing would be lost.
	 */
	public void stopAccepting() {
		this.draining = true;
		this.listener.close().addListener((closed) -> {
			this.connections.forEach(HttpConnection::drain);
			completeIfDrained();
		});
	}

	/**
	 * Returns when all connections are closed after {@link #stopAccepting()}.
	 * @return completes once the server is drained
	 */
	public CompletableFuture<Void> drained() {
		return this.drained.copy();
	}

	/**
	 * Closes all connections at once and cuts requests in progress.
	 */
	@Override
	public void close() {
		this.draining = true;
		this.listener.close();
		this.connections.forEach(HttpConnection::close);
		NettySupport.shutDown(this.loops);
	}

	HttpServerSettings settings() {
		return this.settings;
	}

	Duration drainGrace() {
		return this.drainGrace;
	}

	boolean isDraining() {
		return this.draining;
	}

	boolean opened(HttpConnection connection) {
		this.connections.add(connection);
		return this.connections.size() <= this.settings.maximumConnections();
	}

	void closed(HttpConnection connection) {
		this.connections.remove(connection);
		completeIfDrained();
	}

	CompletableFuture<HttpServerResponse> handle(HttpServerRequest call) {
		CompletableFuture<HttpServerResponse> reply = new CompletableFuture<>();
		try {
			this.executor.execute(() -> handle(call, reply));
		}
		catch (RejectedExecutionException ex) {
			reply.complete(HttpErrors.response(ex));
		}
		return reply;
	}

	private void handle(HttpServerRequest call, CompletableFuture<HttpServerResponse> reply) {
		try {
			this.handler.handle(call)
				.thenApply((result) -> Objects.requireNonNull(result, "reply must not be null"))
				.exceptionally(HttpErrors::response)
				.thenAccept(reply::complete);
		}
		catch (RuntimeException ex) {
			reply.complete(HttpErrors.response(ex));
		}
	}

	private void completeIfDrained() {
		if (this.draining && this.connections.isEmpty() && !this.listener.isOpen()) {
			this.drained.complete(null);
		}
	}

	private final class Initializer extends ChannelInitializer<Channel> {

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
