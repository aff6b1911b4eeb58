package org.magnolialead.engine.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.magnolialead.api.AccountTable;
import org.magnolialead.api.ClientAccount;
import org.magnolialead.api.RateLimit;
import org.magnolialead.api.message.QuotaDemand;
import org.magnolialead.api.message.QuotaGrant;
import org.magnolialead.api.message.QuotaRequest;

/**
 * Grants the tokens of all client accounts during one leadership of a control daemon. Not
 * thread-safe.
 */
public final class QuotaAllocator {

	/**
	 * Part of the burst with which a leader starts, because its predecessor may have
	 * granted a whole burst.
	 */
	private static final double INITIAL_PART_OF_BURST = 0.1;

	/**
	 * Part of the burst that is kept for operations that wait. Tokens for expected
	 * operations are granted from the rest, so that what one daemon expects does not
	 * reject an operation at another.
	 */
	private static final double PART_FOR_WAITING = 0.5;

	private static final long UNKNOWN_ACCOUNT_RETRY_MICROSECONDS = 1_000_000;

	/**
	 * Silence after which a daemon is assumed to grant itself tokens: three heartbeat
	 * intervals of 200 ms.
	 */
	private static final long SILENCE_NANOSECONDS = 600_000_000L;

	/** Interval in which the part of silent daemons is determined again. */
	private static final long WITHHOLDING_INTERVAL_NANOSECONDS = 100_000_000L;

	private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

	private final long since;

	private final RateLimitTolerance tolerance;

	private final Map<String, AccountState> accounts = new HashMap<>();

	private final Map<String, DaemonState> daemons = new HashMap<>();

	private AccountTable table;

	private int registered;

	/**
	 * Creates an allocator for a leader that has just gained authority.
	 * @param since start of the leadership on the monotonic clock in nanoseconds
	 * @param tolerance operations that are permitted beyond the limits
	 */
	public QuotaAllocator(long since, RateLimitTolerance tolerance) {
		this.since = since;
		this.tolerance = Objects.requireNonNull(tolerance, "tolerance must not be null");
	}

	/**
	 * Records a sign of life of a daemon, which then does not grant itself tokens.
	 * @param daemon name of the daemon
	 * @param incarnation identifier of its process
	 * @param now current time of the monotonic clock in nanoseconds
	 */
	public void heard(String daemon, String incarnation, long now) {
		daemon(daemon, incarnation).heardAt = now;
	}

	// A new process has replaced the earlier one, which grants itself nothing more.
	private DaemonState daemon(String name, String incarnation) {
		DaemonState known = this.daemons.get(name);
		if (known == null || !known.incarnation.equals(incarnation)) {
			known = new DaemonState(incarnation);
			this.daemons.put(name, known);
		}
		return known;
	}

	/**
	 * Grants tokens.
	 * @param request the request
	 * @param configured accounts of the configuration in force, or {@code null}
	 * @param registeredDaemons number of daemons of the fleet
	 * @param now current time of the monotonic clock in nanoseconds
	 * @return one grant for each demand
	 */
	public List<QuotaGrant> allocate(QuotaRequest request, AccountTable configured, int registeredDaemons, long now) {
		if (configured != this.table) {
			this.table = configured;
			this.accounts.keySet().removeIf((account) -> limit(account) == null);
		}
		this.registered = registeredDaemons;
		DaemonState daemon = daemon(request.daemon(), request.incarnation());
		daemon.heardAt = now;
		List<QuotaGrant> grants = new ArrayList<>();
		for (QuotaDemand demand : request.demands()) {
			grants.add(grant(daemon, demand, now));
		}
		return grants;
	}

	private RateLimit limit(String account) {
		ClientAccount known = (this.table != null) ? this.table.accounts().get(account) : null;
		return (known != null && known.limit() != null) ? this.tolerance.applyTo(known.limit()) : null;
	}

	private QuotaGrant grant(DaemonState daemon, QuotaDemand demand, long now) {
		RateLimit limit = limit(demand.account());
		if (limit == null) {
			boolean unlimited = this.table == null || this.table.accounts().containsKey(demand.account());
			return unlimited ? new QuotaGrant(demand.account(), demand.wanted() + demand.expected(), 0)
					: new QuotaGrant(demand.account(), 0, UNKNOWN_ACCOUNT_RETRY_MICROSECONDS);
		}
		AccountState account = this.accounts.computeIfAbsent(demand.account(), (name) -> open(limit, now));
		TokenBucket bucket = account.bucket;
		bucket.changeLimit(limit, now);
		withholdForSilentDaemons(demand.account(), account, limit, now);
		bucket.giveBack(demand.unused(), now);
		int granted = bucket.take(demand.wanted(), 0, now);
		long retryAfter = 0;
		if (granted < demand.wanted()) {
			retryAfter = bucket.retryAfter(now) / NANOSECONDS_PER_MICROSECOND + 1;
		}
		else {
			granted += bucket.take(demand.expected(), bucket.capacity() * PART_FOR_WAITING, now);
		}
		daemon.granted.computeIfAbsent(demand.account(), (name) -> new GrantHistory())
			.add(granted - demand.unused(), now);
		account.granted.add(granted - demand.unused(), now);
		return new QuotaGrant(demand.account(), granted, retryAfter, account.granted.perSecond(now));
	}

	private AccountState open(RateLimit limit, long now) {
		double initial = limit.burst() * INITIAL_PART_OF_BURST
				+ limit.operationsPerSecond() * (now - this.since) / TokenBucket.NANOSECONDS_PER_SECOND;
		return new AccountState(new TokenBucket(limit, initial, now), now);
	}

	private void withholdForSilentDaemons(String name, AccountState account, RateLimit limit, long now) {
		if (now - account.withholdingDueAt < 0) {
			return;
		}
		account.withholdingDueAt = now + WITHHOLDING_INTERVAL_NANOSECONDS;
		this.daemons.values()
			.removeIf((daemon) -> now - daemon.heardAt > AccountQuota.SELF_GRANTING_NANOSECONDS + SILENCE_NANOSECONDS);
		double withheld = 0;
		for (DaemonState daemon : this.daemons.values()) {
			GrantHistory history = daemon.granted.get(name);
			if (history != null && now - daemon.heardAt > SILENCE_NANOSECONDS) {
				withheld += SelfGrantedRate.perSecond(limit, history.perSecond(daemon.heardAt),
						account.granted.perSecond(now));
			}
		}
		// What the predecessor granted to daemons that have not found this leader yet is
		// not known; equal shares of the limit are assumed.
		int unheard = this.registered - this.daemons.size();
		if (unheard > 0 && now - this.since < AccountQuota.SELF_GRANTING_NANOSECONDS) {
			withheld += limit.operationsPerSecond() * SelfGrantedRate.PART * unheard / this.registered;
		}
		account.bucket.withhold(withheld, now);
	}

	private static final class AccountState {

		private final TokenBucket bucket;

		/** Tokens granted to all daemons. */
		private final GrantHistory granted = new GrantHistory();

		private long withholdingDueAt;

		AccountState(TokenBucket bucket, long now) {
			this.bucket = bucket;
			this.withholdingDueAt = now;
		}

	}

	private static final class DaemonState {

		private final String incarnation;

		private final Map<String, GrantHistory> granted = new HashMap<>();

		private long heardAt;

		DaemonState(String incarnation) {
			this.incarnation = incarnation;
		}

	}

}
