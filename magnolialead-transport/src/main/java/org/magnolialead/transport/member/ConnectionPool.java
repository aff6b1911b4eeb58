package org.magnolialead.transport.member;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;

/**
 * Bounded connection pool for one database member. The number of connections that are
 * open, being opened or being closed never exceeds the limit. Waiting callers are served
 * in first-in, first-out order.
 */
public final class ConnectionPool implements AutoCloseable {

	/**
	 * Default number of connections that are kept open while idle, so that a burst of
	 * requests does not wait for new connections.
	 */
	public static final int DEFAULT_MINIMUM_OPEN_CONNECTIONS = 2;

	/**
	 * Default time in nanoseconds after which other idle connections are closed.
	 */
	public static final long DEFAULT_IDLE_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

	private static final long CONNECT_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	private static final long MAINTENANCE_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Guards all mutable fields. Not held while connections are opened or closed or the
	 * futures of waiting callers are completed, because these calls may run code of
	 * callers that uses the pool.
	 */
	private final Object lock = new Object();

	private final Deque<IdleConnection> idle = new ArrayDeque<>();

	private final Deque<Waiter> waiters = new ArrayDeque<>();

	private final Set<MemberConnection> inUse = Collections.newSetFromMap(new IdentityHashMap<>());

	private final ConnectionOpener opener;

	private final ScheduledExecutorService timer;

	private final MonotonicClock clock;

	private final String address;

	private final int connectionLimit;

	private final int minimumOpenConnections;

	private final long idleTimeoutNanoseconds;

	private final Future<?> maintenance;

	private int openingCount;

	private int openCount;

	private boolean closed;

	/**
	 * Creates a pool with the default idle settings.
	 * @param connector opens the connections and provides the timer
	 * @param address address of the member in the form {@code host:port}
	 * @param connectionLimit maximum number of connections
	 * @param clock clock on which deadlines are based
	 */
	public ConnectionPool(MemberConnector connector, String address, int connectionLimit, MonotonicClock clock) {
		this(connector::connect, connector.timer(), address, connectionLimit,
				Math.min(connectionLimit, DEFAULT_MINIMUM_OPEN_CONNECTIONS), DEFAULT_IDLE_TIMEOUT_NANOSECONDS, clock);
	}

	/**
	 * Creates a pool.
	 * @param opener opens the connections
	 * @param timer schedules timeouts and maintenance
	 * @param address address of the member in the form {@code host:port}
	 * @param connectionLimit maximum number of connections
	 * @param minimumOpenConnections number of connections that are kept open while idle
	 * @param idleTimeoutNanoseconds time in nanoseconds after which other idle
	 * connections are closed
	 * @param clock clock on which deadlines are based
	 */
	public ConnectionPool(ConnectionOpener opener, ScheduledExecutorService timer, String address, int connectionLimit,
			int minimumOpenConnections, long idleTimeoutNanoseconds, MonotonicClock clock) {
		if (connectionLimit < 1 || minimumOpenConnections < 0 || minimumOpenConnections > connectionLimit) {
			throw new IllegalArgumentException(
					"limit must be positive and minimumOpenConnections from 0 to the limit, found %d and %d"
						.formatted(connectionLimit, minimumOpenConnections));
		}
		this.opener = Objects.requireNonNull(opener, "opener must not be null");
		this.timer = Objects.requireNonNull(timer, "timer must not be null");
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.clock = Objects.requireNonNull(clock, "clock must not be null");
		this.connectionLimit = connectionLimit;
		this.minimumOpenConnections = minimumOpenConnections;
		this.idleTimeoutNanoseconds = idleTimeoutNanoseconds;
		this.maintenance = timer.scheduleWithFixedDelay(this::maintain, 0, MAINTENANCE_INTERVAL_NANOSECONDS,
				TimeUnit.NANOSECONDS);
	}

	/**
	 * Acquires a connection, waiting for one if the limit is reached.
	 * @param deadline deadline of the wait in nanoseconds of the clock
	 * @return a future of a connection that must be passed to {@link #release}. Fails
	 * with a {@link MagnolialeadException} of step {@code CONNECT}:
	 * {@code DEADLINE_EXCEEDED} if no connection was available in time,
	 * {@code UNREACHABLE} if none could be opened or the pool is closed
	 */
	public CompletableFuture<MemberConnection> acquire(long deadline) {
		Waiter waiter = new Waiter();
		long remainingNanoseconds = deadline - this.clock.nanoseconds();
		if (remainingNanoseconds <= 0) {
			waiter.future.completeExceptionally(deadlineExceeded());
			return waiter.future;
		}
		List<Runnable> actions = new ArrayList<>();
		synchronized (this.lock) {
			if (this.closed) {
				waiter.future.completeExceptionally(unreachable("the pool is closed", null));
				return waiter.future;
			}
			this.waiters.add(waiter);
			serveWaiters(actions);
			if (!waiter.completed) {
				waiter.timeoutTask = this.timer.schedule(() -> expire(waiter), remainingNanoseconds,
						TimeUnit.NANOSECONDS);
			}
		}
		actions.forEach(Runnable::run);
		return waiter.future;
	}

	/**
	 * Returns a connection to the pool.
	 * @param connection the connection
	 * @param reusable whether the connection can be used again; otherwise it is closed
	 * @throws IllegalStateException if the connection was not acquired or was already
	 * released, because two callers could otherwise share it
	 */
	public void release(MemberConnection connection, boolean reusable) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this.lock) {
			if (!this.inUse.remove(connection)) {
				throw new IllegalStateException("the connection to %s is not in use".formatted(this.address));
			}
			if (this.closed || !reusable) {
				actions.add(connection::close);
			}
			else if (connection.isOpen()) {
				this.idle.addLast(new IdleConnection(connection, this.clock.nanoseconds()));
				serveWaiters(actions);
			}
		}
		actions.forEach(Runnable::run);
	}

	/**
	 * Returns the number of connections that are open, being opened or being closed.
	 * @return the number of connections, at most the limit
	 */
	public int connectionCount() {
		synchronized (this.lock) {
			return this.openCount + this.openingCount;
		}
	}

	/**
	 * Returns the number of idle connections.
	 * @return the number of idle connections
	 */
	public int idleCount() {
		synchronized (this.lock) {
			return this.idle.size();
		}
	}

	/**
	 * Closes idle connections and fails waiting callers. A connection in use is closed
	 * when it is released.
	 */
	@Override
	public void close() {
		this.maintenance.cancel(false);
		List<Runnable> actions = new ArrayList<>();
		synchronized (this.lock) {
			this.closed = true;
			this.idle.forEach((entry) -> actions.add(entry.connection()::close));
			this.idle.clear();
			while (!this.waiters.isEmpty()) {
				Waiter waiter = this.waiters.remove();
				waiter.completed = true;
				actions.add(() -> waiter.fail(unreachable("the pool was closed", null)));
			}
		}
		actions.forEach(Runnable::run);
	}

	/**
	 * Closes connections whose idle timeout has expired and opens connections up to the
	 * minimum.
	 */
	void maintain() {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this.lock) {
			if (this.closed) {
				return;
			}
			this.idle.removeIf((entry) -> !entry.connection().isOpen());
			long now = this.clock.nanoseconds();
			while (this.idle.size() > this.minimumOpenConnections
					&& now - this.idle.peekFirst().idleSince() > this.idleTimeoutNanoseconds) {
				actions.add(this.idle.removeFirst().connection()::close);
			}
			while (this.openCount + this.openingCount < this.minimumOpenConnections) {
				startOpening(actions);
			}
		}
		actions.forEach(Runnable::run);
	}

	private void serveWaiters(List<Runnable> actions) {
		while (!this.waiters.isEmpty()) {
			MemberConnection connection = removeNewestIdle();
			if (connection == null) {
				break;
			}
			Waiter waiter = this.waiters.remove();
			waiter.completed = true;
			this.inUse.add(connection);
			actions.add(() -> deliver(waiter, connection));
		}
		while (this.openingCount < this.waiters.size() && hasCapacity()) {
			startOpening(actions);
		}
	}

	private void deliver(Waiter waiter, MemberConnection connection) {
		if (!waiter.succeed(connection)) {
			// The caller has cancelled its future.
			release(connection, true);
		}
	}

	/**
	 * Removes the most recently used idle connection, so that the others reach their idle
	 * timeout.
	 * @return an open connection, or {@code null} if there is none
	 */
	private MemberConnection removeNewestIdle() {
		while (!this.idle.isEmpty()) {
			MemberConnection connection = this.idle.removeLast().connection();
			if (connection.isOpen()) {
				return connection;
			}
		}
		return null;
	}

	private boolean hasCapacity() {
		return this.openCount + this.openingCount < this.connectionLimit;
	}

	private void startOpening(List<Runnable> actions) {
		this.openingCount++;
		checkLimit();
		actions.add(() -> this.opener.connect(this.address, this.clock.nanoseconds() + CONNECT_TIMEOUT_NANOSECONDS)
			.whenComplete(this::openingCompleted));
	}

	private void openingCompleted(MemberConnection connection, Throwable failure) {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this.lock) {
			this.openingCount--;
			if (failure != null) {
				failOldestWaiter(failure, actions);
			}
			else {
				this.openCount++;
				checkLimit();
			}
			if (failure == null && this.closed) {
				actions.add(connection::close);
			}
			else if (failure == null) {
				this.idle.addLast(new IdleConnection(connection, this.clock.nanoseconds()));
			}
			serveWaiters(actions);
		}
		if (failure == null) {
			connection.closed().thenRun(this::connectionClosed);
		}
		actions.forEach(Runnable::run);
	}

	private void failOldestWaiter(Throwable failure, List<Runnable> actions) {
		Waiter waiter = this.waiters.poll();
		if (waiter != null) {
			waiter.completed = true;
			actions.add(() -> waiter.fail(failure));
		}
	}

	private void connectionClosed() {
		List<Runnable> actions = new ArrayList<>();
		synchronized (this.lock) {
			this.openCount--;
			checkLimit();
			if (!this.closed) {
				serveWaiters(actions);
			}
		}
		actions.forEach(Runnable::run);
	}

	private void expire(Waiter waiter) {
		synchronized (this.lock) {
			if (waiter.completed) {
				return;
			}
			waiter.completed = true;
			this.waiters.remove(waiter);
		}
		waiter.fail(deadlineExceeded());
	}

	private void checkLimit() {
		if (this.openCount < 0 || this.openingCount < 0 || this.openCount + this.openingCount > this.connectionLimit) {
			throw new MagnolialeadException(ErrorCode.INVARIANT_VIOLATED, Step.CONNECT, this.address,
					"%d connections are open and %d being opened, at most %d are allowed".formatted(this.openCount,
							this.openingCount, this.connectionLimit));
		}
	}

	private MagnolialeadException deadlineExceeded() {
		return new MagnolialeadException(ErrorCode.DEADLINE_EXCEEDED, Step.CONNECT, this.address,
				"no connection was available before the deadline");
	}

	private MagnolialeadException unreachable(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONNECT, this.address, message, cause);
	}

	/**
	 * Idle connection.
	 *
	 * @param connection the connection
	 * @param idleSince time at which it became idle, in nanoseconds of the clock
	 */
	private record IdleConnection(MemberConnection connection, long idleSince) {
	}

	/**
	 * Caller that waits for a connection.
	 */
	private static final class Waiter {

		private final CompletableFuture<MemberConnection> future = new CompletableFuture<>();

		private volatile Future<?> timeoutTask;

		/**
		 * Whether the caller is no longer waiting, because it has been assigned a
		 * connection, has failed or has timed out. Guarded by the lock of the pool.
		 */
		private boolean completed;

		boolean succeed(MemberConnection connection) {
			cancelTimeout();
			return this.future.complete(connection);
		}

		void fail(Throwable failure) {
			cancelTimeout();
			Throwable cause = (failure instanceof CompletionException && failure.getCause() != null)
					? failure.getCause() : failure;
			this.future.completeExceptionally(cause);
		}

		private void cancelTimeout() {
			Future<?> running = this.timeoutTask;
			if (running != null) {
				running.cancel(false);
			}
		}

	}

}
