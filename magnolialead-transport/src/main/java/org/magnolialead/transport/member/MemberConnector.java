package org.magnolialead.transport.member;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.transport.netty.NettySupport;

/**
 * Opens connections to database members. Futures complete on the event loops of the
 * connector; their dependents must not block.
 */
public final class MemberConnector implements AutoCloseable {

	/**
	 * Maximum size of a response body in bytes. Leaves room in a peer frame of 1 MiB for
	 * the other fields of a forwarded response.
	 */
	public static final int MAXIMUM_RESPONSE_BYTES = 1_000_000;

	private static final int EVENT_LOOP_THREADS = 2;

	private static final long MAXIMUM_CONNECT_TIMEOUT_MILLISECONDS = 1_000;

	private static final int REQUEST_ID_PREFIX_BYTES = 8;

	private final EventLoopGroup eventLoops = NettySupport.eventLoops("member-client", EVENT_LOOP_THREADS);

	private final AtomicLong lastRequestNumber = new AtomicLong();

	private final String requestIdPrefix = randomPrefix();

	private final MonotonicClock clock;

	/**
	 * Creates a connector that uses the system clock.
	 */
	public MemberConnector() {
		this(MonotonicClock.SYSTEM);
	}

	/**
	 * Creates a connector.
	 * @param clock clock on which deadlines are based
	 */
	public MemberConnector(MonotonicClock clock) {
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
	}

	/**
	 * Opens a connection asynchronously.
	 * @param address address of the member in the form {@code host:port}
	 * @param deadline deadline of the attempt in nanoseconds of the clock
	 * @return a future of the connection; fails with a {@link MagnolialeadException} of
	 * code {@code UNREACHABLE}, step {@code CONNECT}
	 */
	public CompletableFuture<MemberConnection> connect(String address, long deadline) {
		long remainingMilliseconds = TimeUnit.NANOSECONDS.toMillis(deadline - this.clock.nanoseconds());
		if (remainingMilliseconds <= 0) {
			return CompletableFuture.failedFuture(unreachable(address, "the deadline has passed", null));
		}
		HttpMemberConnection connection = new HttpMemberConnection(address, this.clock, this::nextRequestId);
		CompletableFuture<MemberConnection> result = new CompletableFuture<>();
		try {
			ChannelFuture opening = NettySupport.connect(this.eventLoops, address,
					(int) Math.min(MAXIMUM_CONNECT_TIMEOUT_MILLISECONDS, remainingMilliseconds),
					new PipelineInitializer(connection));
			opening.addListener((done) -> {
				if (done.isSuccess()) {
					result.complete(connection);
				}
				else {
					result.completeExceptionally(
							unreachable(address, "the connection could not be opened", done.cause()));
				}
			});
		}
		catch (IllegalArgumentException | RejectedExecutionException | IllegalStateException ex) {
			result.completeExceptionally(unreachable(address, "the connection attempt could not be started", ex));
		}
		return result;
	}

	@Override
	public void close() {
		NettySupport.shutDown(this.eventLoops);
	}

	ScheduledExecutorService timer() {
		return this.eventLoops;
	}

	private String nextRequestId() {
		return this.requestIdPrefix + Long.toHexString(this.lastRequestNumber.incrementAndGet());
	}

	private static String randomPrefix() {
		byte[] prefix = new byte[REQUEST_ID_PREFIX_BYTES];
		new SecureRandom().nextBytes(prefix);
		return HexFormat.of().formatHex(prefix) + "-";
	}

	private static MagnolialeadException unreachable(String address, String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONNECT, address, message, cause);
	}

	private static final class PipelineInitializer extends ChannelInitializer<Channel> {

		private final HttpMemberConnection connection;

		PipelineInitializer(HttpMemberConnection connection) {
			this.connection = connection;
		}

		@Override
		protected void initChannel(Channel channel) {
			channel.pipeline()
				.addLast(new HttpClientCodec())
				.addLast(new HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES))
				.addLast(this.connection);
		}

	}

}
