package org.magnolialead.daemon.quota;

import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.Step;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.message.QuotaAnswer;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.engine.quota.DaemonQuota;
import org.magnolialead.engine.quota.QuotaDecision;
import org.magnolialead.engine.session.SuspensionDetector;

/**
 * Takes the tokens for the operations of this daemon. Has a timer only while tokens are
 * held or wanted. All methods must be called on the serial executor.
 */
public final class QuotaService {

	private static final System.Logger LOGGER = System.getLogger(QuotaService.class.getName());

	/**
	 * Time after which a request is given up and repeated. Less than 40% of the statement
	 * timeout of 1 s, so that a statement outlives one lost request.
	 */
	private static final long REQUEST_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Part of the time until its timeout that an operation waits for a token. */
	private static final double WAITING_PART = 0.4;

	private final ScheduledExecutorService loop;

	private final MonotonicClock clock;

	private final LongSupplier wallClock;

	private QuotaLink link = QuotaLink.NONE;

	private final QuotaMetrics metrics;

	private final DaemonQuota<Operation> quota;

	private final SuspensionDetector suspensionDetector;

	private final RejectionLog rejectionLog;

	private Future<?> timer;

	private long timerDueAt;

	private boolean leaderLost;

	private long leaderLostAt;

	/**
	 * Creates a service without a link to the control leader.
	 * @param loop serial executor
	 * @param clock clock for all deadlines
	 * @param wallClock wall clock in milliseconds, read only to detect a suspension of
	 * the VM
	 * @param registry receives the metrics
	 */
	public QuotaService(ScheduledExecutorService loop, MonotonicClock clock, LongSupplier wallClock,
			MetricRegistry registry) {
		this.loop = loop;
		this.clock = clock;
		this.wallClock = wallClock;
		this.metrics = new QuotaMetrics(registry);
		long now = clock.nanoseconds();
		this.quota = new DaemonQuota<>(now, Operation::decided);
		this.suspensionDetector = new SuspensionDetector(now, wallClock.getAsLong());
		this.rejectionLog = new RejectionLog(now);
	}

	/**
	 * Sets the link to the control leader.
	 * @param controlLink sends requests to the control leader
	 */
	public void setLink(QuotaLink controlLink) {
		this.link = controlLink;
	}

	/**
	 * Takes a token.
	 * @param account name of the account
	 * @param limit limit of the account
	 * @param deadline time at which the operation times out
	 * @param listener receives the decision if the operation has to wait
	 * @return the operation with its decision
	 */
	public Operation take(String account, RateLimit limit, long deadline, QuotaListener listener) {
		long now = now();
		long waitUntil = now + (long) ((deadline - now) * WAITING_PART);
		Operation operation = new Operation(account, listener);
		operation.decision = this.quota.arrived(account, limit, operation, waitUntil, now);
		count(account, operation.decision, now);
		proceed(now);
		return operation;
	}

	private void count(String account, QuotaDecision decision, long now) {
		if (decision == QuotaDecision.ADMITTED) {
			this.metrics.admitted(account);
		}
		else if (decision.isRejection()) {
			this.metrics.rejected(account);
			this.rejectionLog.rejected(account, decision, now);
		}
	}

	/**
	 * Applies the client accounts of the configuration.
	 * @param accounts the accounts, or {@code null}
	 */
	public void accountsChanged(AccountTable accounts) {
		Set<String> limited = (accounts != null) ? accounts.accounts()
			.values()
			.stream()
			.filter((account) -> account.limit() != null)
			.map(ClientAccount::name)
			.collect(Collectors.toSet()) : Set.of();
		this.quota.retain(limited);
		this.metrics.retain(limited);
		this.rejectionLog.retain(limited);
	}

	// Reads the time, and discards the tokens if the monotonic clock stood still.
	private long now() {
		long now = this.clock.nanoseconds();
		if (this.suspensionDetector.haveClocksDiverged(now, this.wallClock.getAsLong())) {
			this.quota.suspended();
		}
		return now;
	}

	private void proceed(long now) {
		List<QuotaDemand> demands = this.quota.nextRequest(now);
		if (!demands.isEmpty()) {
			this.metrics.requestSent();
			this.link.requestTokens(demands, now + REQUEST_TIMEOUT_NANOSECONDS)
				.whenComplete((answer, failure) -> this.loop.execute(() -> run(() -> answered(answer, failure))));
		}
		scheduleTimer(now);
		logLeader(now);
	}

	private void answered(QuotaAnswer answer, Throwable failure) {
		long now = now();
		if (answer == null) {
			this.metrics.requestNotAnswered();
			this.quota.notAnswered(now);
		}
		else if (answer.leader()) {
			this.quota.answered(answer.grants(), now);
		}
		else {
			this.quota.refused(now);
		}
		proceed(now());
	}

	private void scheduleTimer(long now) {
		long dueAt = this.quota.nextDueAt(now);
		if (this.timer != null && (dueAt == DaemonQuota.NEVER || dueAt - this.timerDueAt < 0)) {
			this.timer.cancel(false);
			this.timer = null;
		}
		if (this.timer == null && dueAt != DaemonQuota.NEVER) {
			this.timerDueAt = dueAt;
			this.timer = this.loop.schedule(() -> run(this::timerExpired), dueAt - now, TimeUnit.NANOSECONDS);
		}
	}

	private void timerExpired() {
		this.timer = null;
		this.quota.advance(now());
		proceed(now());
	}

	// Without this, the executor would discard the exception without logging it.
	private static void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			LogEvent.REQUEST_FAILED_UNEXPECTEDLY.log(LOGGER, ex, Step.SESSION, "", ex);
		}
	}

	private void logLeader(long now) {
		if (this.quota.isSelfGranting() == this.leaderLost) {
			return;
		}
		this.leaderLost = !this.leaderLost;
		if (this.leaderLost) {
			this.leaderLostAt = now;
			LogEvent.QUOTA_LEADER_LOST.log(LOGGER, "no answer");
		}
		else {
			LogEvent.QUOTA_LEADER_REGAINED.log(LOGGER, TimeUnit.NANOSECONDS.toMillis(now - this.leaderLostAt));
		}
	}

	/**
	 * Operation that takes a token.
	 */
	public final class Operation {

		private final String account;

		private final QuotaListener listener;

		private QuotaDecision decision;

		Operation(String account, QuotaListener listener) {
			this.account = account;
			this.listener = listener;
		}

		/**
		 * Returns the decision.
		 * @return the decision, {@link QuotaDecision#WAITING} until the listener receives
		 * another one
		 */
		public QuotaDecision decision() {
			return this.decision;
		}

		/**
		 * Ends the waiting. The listener receives nothing any more.
		 */
		public void cancel() {
			if (this.decision == QuotaDecision.WAITING) {
				QuotaService.this.quota.cancel(this.account, this);
				scheduleTimer(QuotaService.this.clock.nanoseconds());
			}
		}

		private void decided(QuotaDecision last) {
			this.decision = last;
			count(this.account, last, QuotaService.this.clock.nanoseconds());
			this.listener.decided(last);
		}

	}

}
