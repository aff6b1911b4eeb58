package org.magnolialead.engine.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiConsumer;

import org.magnolialead.api.RateLimit;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;

/**
 * Tokens of all client accounts at one daemon, the operations that wait for them, and the
 * requests to the control leader. After each call of a method that changes the state, the
 * caller sends the {@linkplain #nextRequest request} that is due, and calls
 * {@link #advance} at the time of {@link #nextDueAt}. Not thread-safe.
 *
 * @param <T> type of the operations
 */
public final class DaemonQuota<T> {

	/** Result of {@link #nextDueAt} while nothing is due. */
	public static final long NEVER = Long.MAX_VALUE;

	/**
	 * Time without an answer after which a daemon grants itself tokens.
	 */
	static final long SELF_GRANTING_AFTER_NANOSECONDS = 150_000_000L;

	/** Pause after a request that was not granted by a leader. */
	private static final long RETRY_NANOSECONDS = 50_000_000L;

	/** Interval in which operations get tokens that the daemon grants itself. */
	private static final long SELF_GRANTING_INTERVAL_NANOSECONDS = 50_000_000L;

	private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

	private final BiConsumer<T, QuotaDecision> listener;

	private final Map<String, Entry<T>> entries = new HashMap<>();

	private final Set<Entry<T>> demanding = new LinkedHashSet<>();

	private final Set<Entry<T>> holding = new LinkedHashSet<>();

	private final PriorityQueue<Waiting<T>> waitingByTime = new PriorityQueue<>(
			(first, second) -> Long.signum(first.waitUntil - second.waitUntil));

	private int waitingCount;

	private boolean inFlight;

	private long sentAt;

	private long nextRequestAt;

	private boolean unanswered;

	private long unansweredSince;

	private boolean selfGranting;

	private boolean answeredBefore;

	private long answeredAt;

	private boolean discardAnswer;

	/**
	 * Creates the state of a daemon without tokens.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @param listener is told the decision about each operation that had to wait
	 */
	public DaemonQuota(long now, BiConsumer<T, QuotaDecision> listener) {
		this.listener = listener;
		this.nextRequestAt = now;
	}

	/**
	 * Decides about a new operation.
	 * @param account name of its account
	 * @param limit limit of the account
	 * @param operation the operation
	 * @param waitUntil time until which it may wait for a token
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the decision; if it is {@link QuotaDecision#WAITING}, the listener is told
	 * the final one unless the operation is cancelled
	 */
	public QuotaDecision arrived(String account, RateLimit limit, T operation, long waitUntil, long now) {
		startSelfGrantingIfDue(now);
		Entry<T> entry = this.entries.computeIfAbsent(account, (name) -> new Entry<>(new AccountQuota(name, now)));
		AccountQuota quota = entry.quota;
		quota.arrived(limit, now);
		if (entry.waitingCount == 0 && quota.take(now)) {
			if (this.selfGranting || quota.runsLow(now)) {
				this.demanding.add(entry);
			}
			return QuotaDecision.ADMITTED;
		}
		if (quota.isRefused(now)) {
			return QuotaDecision.EMPTY;
		}
		this.demanding.add(entry);
		if (waitUntil - now <= 0) {
			return QuotaDecision.NO_ANSWER;
		}
		Waiting<T> waiting = new Waiting<>(entry, operation, waitUntil);
		entry.waiting.add(waiting);
		entry.waitingCount++;
		this.waitingCount++;
		this.waitingByTime.add(waiting);
		return QuotaDecision.WAITING;
	}

	/**
	 * Removes an operation that waits, because its client has disconnected.
	 * @param account name of its account
	 * @param operation the operation
	 */
	public void cancel(String account, T operation) {
		Entry<T> entry = this.entries.get(account);
		if (entry == null) {
			return;
		}
		entry.waiting.stream().filter((waiting) -> waiting.operation == operation).findFirst().ifPresent((waiting) -> {
			entry.waiting.remove(waiting);
			this.waitingByTime.remove(waiting);
			entry.waitingCount--;
			this.waitingCount--;
		});
	}

	/**
	 * Returns the request that is due. The caller sends it and calls {@link #answered},
	 * {@link #refused} or {@link #notAnswered} once.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the demands of the request, empty if none is due
	 */
	public List<QuotaDemand> nextRequest(long now) {
		if (this.inFlight || this.demanding.isEmpty() || now - this.nextRequestAt < 0) {
			return List.of();
		}
		List<QuotaDemand> demands = new ArrayList<>();
		for (Entry<T> entry : this.demanding) {
			AccountQuota quota = entry.quota;
			boolean refused = quota.isRefused(now);
			int wanted = refused ? 0 : entry.waitingCount;
			// A request for one token finds out whether the leader answers again.
			int expected = refused ? 0 : Math.max(quota.expected(now), this.selfGranting ? 1 : 0);
			int unused = quota.takeUnused(now);
			if (wanted > 0 || expected > 0 || unused > 0) {
				demands.add(new QuotaDemand(quota.account(), wanted, expected, unused));
			}
		}
		this.demanding.clear();
		if (!demands.isEmpty()) {
			this.inFlight = true;
			this.sentAt = now;
			this.discardAnswer = false;
			if (!this.unanswered) {
				this.unanswered = true;
				this.unansweredSince = now;
			}
		}
		return demands;
	}

	/**
	 * Applies the answer of the leader to the latest request.
	 * @param grants the grants
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public void answered(List<QuotaGrant> grants, long now) {
		this.inFlight = false;
		this.unanswered = false;
		this.answeredBefore = true;
		this.answeredAt = now;
		if (this.selfGranting) {
			this.selfGranting = false;
			this.entries.values().forEach((entry) -> entry.quota.endSelfGranting());
		}
		if (!this.discardAnswer) {
			grants.forEach((grant) -> apply(grant, now));
		}
		demandForWaiting();
		advance(now);
	}

	private void apply(QuotaGrant grant, long now) {
		Entry<T> entry = this.entries.get(grant.account());
		if (entry == null) {
			return;
		}
		entry.quota.granted(grant.granted(), grant.fleetPerSecond(), this.sentAt, now);
		if (entry.quota.isHolding()) {
			this.holding.add(entry);
		}
		if (grant.retryAfterMicroseconds() > 0) {
			entry.quota.refuse(now + grant.retryAfterMicroseconds() * NANOSECONDS_PER_MICROSECOND);
		}
		admitWaiting(entry, now);
		if (entry.quota.isRefused(now)) {
			while (entry.waitingCount > 0) {
				finish(entry.waiting.peek(), QuotaDecision.EMPTY);
			}
		}
	}

	/**
	 * Records that a control daemon without authority answered the latest request.
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public void refused(long now) {
		this.inFlight = false;
		this.nextRequestAt = now + RETRY_NANOSECONDS;
		demandForWaiting();
		advance(now);
	}

	/**
	 * Records that the latest request was not answered.
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public void notAnswered(long now) {
		refused(now);
	}

	private void demandForWaiting() {
		if (this.waitingCount > 0) {
			this.entries.values().stream().filter((entry) -> entry.waitingCount > 0).forEach(this.demanding::add);
		}
	}

	/**
	 * Does what is due: ends waiting, collects expired tokens and grants tokens without
	 * the leader.
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public void advance(long now) {
		startSelfGrantingIfDue(now);
		if (this.selfGranting && this.waitingCount > 0) {
			List.copyOf(this.entries.values()).forEach((entry) -> admitWaiting(entry, now));
		}
		Waiting<T> first = this.waitingByTime.peek();
		while (first != null && now - first.waitUntil >= 0) {
			finish(first, QuotaDecision.NO_ANSWER);
			first = this.waitingByTime.peek();
		}
		this.holding.removeIf((entry) -> {
			if (entry.quota.hasUnused(now)) {
				this.demanding.add(entry);
			}
			return !entry.quota.isHolding();
		});
	}

	private void startSelfGrantingIfDue(long now) {
		if (this.selfGranting && now - this.answeredAt >= AccountQuota.SELF_GRANTING_NANOSECONDS) {
			this.entries.values().forEach((entry) -> entry.quota.endSelfGranting());
			return;
		}
		boolean due = !this.selfGranting && willGrantItself(now)
				&& now - this.unansweredSince >= SELF_GRANTING_AFTER_NANOSECONDS;
		if (due) {
			this.selfGranting = true;
			this.entries.values().forEach((entry) -> entry.quota.startSelfGranting(this.unansweredSince));
		}
	}

	private boolean willGrantItself(long now) {
		return this.unanswered && this.answeredBefore && now - this.answeredAt < AccountQuota.SELF_GRANTING_NANOSECONDS;
	}

	private void admitWaiting(Entry<T> entry, long now) {
		while (entry.waitingCount > 0 && entry.quota.take(now)) {
			finish(entry.waiting.peek(), QuotaDecision.ADMITTED);
		}
	}

	// The listener may call this object again.
	private void finish(Waiting<T> waiting, QuotaDecision decision) {
		waiting.entry.waiting.remove(waiting);
		waiting.entry.waitingCount--;
		this.waitingCount--;
		this.waitingByTime.remove(waiting);
		this.listener.accept(waiting.operation, decision);
	}

	/**
	 * Returns the time at which {@link #advance} and {@link #nextRequest} have to be
	 * called if nothing else happens before.
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return the time, {@link #NEVER} while no tokens are held or wanted
	 */
	public long nextDueAt(long now) {
		long delay = NEVER;
		if (this.waitingCount > 0) {
			delay = this.waitingByTime.peek().waitUntil - now;
			if (this.selfGranting) {
				delay = Math.min(delay, SELF_GRANTING_INTERVAL_NANOSECONDS);
			}
			else if (willGrantItself(now)) {
				delay = Math.min(delay, this.unansweredSince + SELF_GRANTING_AFTER_NANOSECONDS - now);
			}
		}
		if (!this.inFlight && !this.demanding.isEmpty()) {
			delay = Math.min(delay, this.nextRequestAt - now);
		}
		for (Entry<T> entry : this.holding) {
			delay = Math.min(delay, entry.quota.isHolding() ? entry.quota.earliestExpiry() - now : 0);
		}
		return (delay == NEVER) ? NEVER : now + Math.max(0, delay);
	}

	/**
	 * Discards tokens and history after a suspension of the VM. Tokens that a request
	 * sent before it brings are discarded, too.
	 */
	public void suspended() {
		this.entries.values().forEach((entry) -> entry.quota.discard());
		this.holding.clear();
		this.discardAnswer = true;
	}

	/**
	 * Tells whether this daemon grants itself tokens, because the leader does not answer.
	 * @return {@code true} until the next answer
	 */
	public boolean isSelfGranting() {
		return this.selfGranting;
	}

	/**
	 * Returns the number of operations that wait for a token.
	 * @return the number
	 */
	public int waitingCount() {
		return this.waitingCount;
	}

	/**
	 * Forgets accounts without a limit, except for operations that wait.
	 * @param accounts names of the accounts that have a limit
	 */
	public void retain(Collection<String> accounts) {
		this.entries.values().removeIf((entry) -> {
			boolean removed = entry.waitingCount == 0 && !accounts.contains(entry.quota.account());
			if (removed) {
				this.demanding.remove(entry);
				this.holding.remove(entry);
			}
			return removed;
		});
	}

	private static final class Entry<T> {

		private final AccountQuota quota;

		private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

		private int waitingCount;

		Entry(AccountQuota quota) {
			this.quota = quota;
		}

	}

	private static final class Waiting<T> {

		private final Entry<T> entry;

		private final T operation;

		private final long waitUntil;

		Waiting(Entry<T> entry, T operation, long waitUntil) {
			this.entry = entry;
			this.operation = operation;
			this.waitUntil = waitUntil;
		}

	}

}
