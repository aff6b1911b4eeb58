package org.magnolialead.transport.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.transport.TestChecks;

class ConnectionPoolTests {

	private static final int LIMIT = 4;

	private static final long LONG_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);

	private static final long SEED = 7_431;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final ExecutorService openers = Executors.newFixedThreadPool(4);

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicInteger mostOpen = new AtomicInteger();

	private final AtomicBoolean failing = new AtomicBoolean();

	private final AtomicLong clockOffset = new AtomicLong();

	@AfterEach
	void close() {
		this.timer.shutdownNow();
		this.openers.shutdownNow();
	}

	/**
	 * Guards against exceeding the connection limit of the member, sharing a connection
	 * between callers, and never serving a waiting caller, under random concurrent use.
	 */
	@Test
	void limitHoldsUnderRandomConcurrentUse() throws Exception {
		System.out.println("seed " + SEED);
		ConnectionPool pool = pool(2, TimeUnit.MILLISECONDS.toNanos(1));
		ExecutorService users = Executors.newFixedThreadPool(12);
		List<Future<?>> running = new ArrayList<>();
		for (int user = 0; user < 12; user++) {
			Random random = new Random(SEED + user);
			running.add(users.submit(() -> useRandomly(pool, random)));
		}
		for (Future<?> user : running) {
			user.get();
		}
		users.shutdown();
		TestChecks.checkTrue(this.mostOpen.get() <= LIMIT, () -> this.mostOpen + " connections were open");
		TestChecks.checkTrue(pool.connectionCount() <= LIMIT, () -> "pool counts " + pool.connectionCount());
		List<MemberConnection> all = new ArrayList<>();
		for (int count = 0; count < LIMIT; count++) {
			all.add(pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS).get());
		}
		all.forEach((connection) -> pool.release(connection, false));
		pool.close();
	}

	/**
	 * Guards against a caller that waits past its deadline, and against a timed-out
	 * waiter that keeps a released connection from the next one.
	 */
	@Test
	void waitEndsAtDeadline() throws Exception {
		ConnectionPool pool = pool(0, LONG_TIMEOUT_NANOSECONDS);
		List<MemberConnection> used = new ArrayList<>();
		for (int count = 0; count < LIMIT; count++) {
			used.add(pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS).get());
		}
		CompletableFuture<MemberConnection> shortWait = pool.acquire(now() + TimeUnit.MILLISECONDS.toNanos(20));
		CompletableFuture<MemberConnection> longWait = pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS);
		checkFailure(ErrorCode.DEADLINE_EXCEEDED, shortWait);
		pool.release(used.get(0), true);
		TestChecks.checkTrue(longWait.get() == used.get(0), () -> "the released connection must be handed on");
		pool.close();
	}

	/**
	 * Guards against a connection that two callers share after it was released twice, and
	 * a connection that is leaked when its caller has cancelled the request.
	 */
	@Test
	void connectionsAreNeitherSharedNorLeaked() throws Exception {
		ConnectionPool pool = pool(0, LONG_TIMEOUT_NANOSECONDS);
		List<MemberConnection> used = new ArrayList<>();
		for (int count = 0; count < LIMIT; count++) {
			used.add(pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS).get());
		}
		CompletableFuture<MemberConnection> cancelled = pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS);
		CompletableFuture<MemberConnection> next = pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS);
		cancelled.cancel(false);
		pool.release(used.get(0), true);
		TestChecks.checkTrue(next.get() == used.get(0), () -> "the connection must go to the next caller");
		pool.release(used.get(0), true);
		TestChecks.checkThrows(IllegalStateException.class, () -> {
			pool.release(used.get(0), true);
			return "accepted";
		});
		pool.close();
	}

	/**
	 * Guards against failed connection attempts that count towards the limit forever.
	 */
	@Test
	void failedAttemptsDoNotCountTowardsLimit() throws Exception {
		ConnectionPool pool = pool(0, LONG_TIMEOUT_NANOSECONDS);
		this.failing.set(true);
		for (int count = 0; count < 3 * LIMIT; count++) {
			checkFailure(ErrorCode.UNREACHABLE, pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS));
		}
		this.failing.set(false);
		TestChecks.checkTrue(pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS).get().isOpen(), () -> "must be open");
		TestChecks.checkEquals(1, pool.connectionCount());
		pool.close();
	}

	/**
	 * Guards against idle connections that are never closed, and against a pool that
	 * closes its minimum of open connections.
	 */
	@Test
	void idleConnectionsAboveMinimumAreClosed() throws Exception {
		ConnectionPool pool = pool(1, LONG_TIMEOUT_NANOSECONDS);
		List<MemberConnection> used = new ArrayList<>();
		for (int count = 0; count < LIMIT; count++) {
			used.add(pool.acquire(now() + LONG_TIMEOUT_NANOSECONDS).get());
		}
		used.forEach((connection) -> pool.release(connection, true));
		pool.maintain();
		TestChecks.checkEquals(LIMIT, pool.connectionCount());
		this.clockOffset.addAndGet(2 * LONG_TIMEOUT_NANOSECONDS);
		pool.maintain();
		TestChecks.checkEquals(1, pool.connectionCount());
		pool.close();
		TestChecks.checkEquals(0, pool.connectionCount());
	}

	private void useRandomly(ConnectionPool pool, Random random) {
		for (int round = 0; round < 400; round++) {
			this.failing.set(random.nextInt(50) == 0);
			long timeout = TimeUnit.MICROSECONDS.toNanos(1 + random.nextInt(3_000));
			try {
				MemberConnection connection = pool.acquire(now() + timeout).join();
				((TestConnection) connection).use();
				Thread.yield();
				((TestConnection) connection).endUse();
				if (random.nextInt(8) == 0) {
					connection.close();
				}
				pool.release(connection, random.nextInt(5) != 0);
			}
			catch (CompletionException ex) {
				MagnolialeadException cause = (MagnolialeadException) ex.getCause();
				TestChecks.checkTrue(cause.code() != ErrorCode.INVARIANT_VIOLATED, cause::toString);
			}
		}
		this.failing.set(false);
	}

	private ConnectionPool pool(int minimumOpen, long idleTimeout) {
		return new ConnectionPool(this::connect, this.timer, "m", LIMIT, minimumOpen, idleTimeout, this::now);
	}

	private long now() {
		return System.nanoTime() + this.clockOffset.get();
	}

	private CompletableFuture<MemberConnection> connect(String address, long deadline) {
		return CompletableFuture.supplyAsync(() -> {
			if (this.failing.get()) {
				throw new MagnolialeadException(ErrorCode.UNREACHABLE, Step.CONNECT, address, "rejected by the test");
			}
			return new TestConnection();
		}, this.openers);
	}

	private static void checkFailure(ErrorCode code, CompletableFuture<MemberConnection> result) {
		CompletionException failure = TestChecks.checkThrows(CompletionException.class, result::join);
		TestChecks.checkEquals(code, ((MagnolialeadException) failure.getCause()).code());
	}

	/**
	 * Connection that counts open connections and detects concurrent use by two callers.
	 */
	private final class TestConnection implements MemberConnection {

		private final AtomicBoolean used = new AtomicBoolean();

		private final CompletableFuture<Void> closed = new CompletableFuture<>();

		TestConnection() {
			int now = ConnectionPoolTests.this.open.incrementAndGet();
			ConnectionPoolTests.this.mostOpen.accumulateAndGet(now, Math::max);
		}

		void use() {
			TestChecks.checkTrue(this.used.compareAndSet(false, true), () -> "used by two callers concurrently");
		}

		void endUse() {
			this.used.set(false);
		}

		@Override
		public CompletableFuture<MemberResponse> exchange(MemberRequest request, long deadline) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean isOpen() {
			return !this.closed.isDone();
		}

		@Override
		public synchronized void close() {
			if (isOpen()) {
				ConnectionPoolTests.this.open.decrementAndGet();
				this.closed.complete(null);
			}
		}

		@Override
		public CompletableFuture<Void> closed() {
			return this.closed;
		}

		@Override
		public String address() {
			return "m";
		}

	}

}
