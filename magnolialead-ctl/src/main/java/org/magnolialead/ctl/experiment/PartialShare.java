package org.magnolialead.ctl.experiment;

import java.util.HashMap;
import java.util.Map;

import org.magnolialead.engine.owner.Dispatch;

/**
 * Share of slot time and connections of one of several daemons. Slot time is an account
 * for each member that fills at the daemon's rate; a statement may start while the
 * account is not empty.
 */
final class PartialShare implements SlotShare {

	/**
	 * Bound of an account. Without it, a daemon that was idle could start a burst that
	 * delays the other daemons' statements.
	 */
	private static final long ACCOUNT_LIMIT_NANOSECONDS = 20 * VirtualTime.MILLISECOND;

	private final Map<String, Account> accounts = new HashMap<>();

	private double slotShare;

	private int connections;

	PartialShare(double slotShare, int connections) {
		this.slotShare = slotShare;
		this.connections = connections;
	}

	/**
	 * Changes the share.
	 * @param changedShare part of each member's slot time, from 0 to 1
	 * @param changedConnections greatest number of open connections to a member
	 * @param now present time in nanoseconds
	 */
	void change(double changedShare, int changedConnections, long now) {
		this.accounts.values().forEach((account) -> account.fill(this.slotShare, now));
		this.slotShare = changedShare;
		this.connections = changedConnections;
	}

	@Override
	public int slots(String member, long now) {
		Account account = this.accounts.computeIfAbsent(member, (absent) -> new Account(now));
		account.fill(this.slotShare, now);
		return (account.balance > 0) ? this.connections : 0;
	}

	@Override
	public int connections() {
		return this.connections;
	}

	@Override
	public void used(Dispatch<Request> dispatch, long serviceNanoseconds) {
		this.accounts.get(dispatch.member()).balance -= serviceNanoseconds;
	}

	/** Slot time that the daemon may use at one member. */
	private static final class Account {

		private double balance = ACCOUNT_LIMIT_NANOSECONDS;

		private long filledAt;

		Account(long now) {
			this.filledAt = now;
		}

		void fill(double share, long now) {
			double earned = share * Deployment.SLOTS_PER_MEMBER * (now - this.filledAt);
			this.balance = Math.min(ACCOUNT_LIMIT_NANOSECONDS, this.balance + earned);
			this.filledAt = now;
		}

	}

}
