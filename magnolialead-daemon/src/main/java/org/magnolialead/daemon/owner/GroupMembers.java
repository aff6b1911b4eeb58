package org.magnolialead.daemon.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.transport.member.ConnectionPool;

/**
 * Pollers and connection pools of a group's members. Confined to the serial executor of
 * the group.
 */
final class GroupMembers {

	private final OwnerServices services;

	private final Executor serial;

	private final MemberPoller.Listener listener;

	private final Map<String, MemberPoller> pollers = new HashMap<>();

	private final Map<String, ConnectionPool> pools = new HashMap<>();

	GroupMembers(OwnerServices services, Executor serial, MemberPoller.Listener listener) {
		this.services = services;
		this.serial = serial;
		this.listener = listener;
	}

	void update(GroupView view) {
		this.pollers.values()
			.stream()
			.filter((poller) -> !hasSameConnectionSettings(poller.member(), view))
			.map((poller) -> poller.member().member())
			.toList()
			.forEach(this::remove);
		view.allMembers().stream().filter((member) -> !this.pollers.containsKey(member.member())).forEach(this::add);
	}

	/**
	 * Returns the number of connections that the owner may use for statements: half of
	 * the member's limit, so that the next owner can connect while the connections of
	 * this one are closing, minus one for the poller.
	 * @param member the member
	 * @return the number of connections, at least 1
	 */
	static int statementConnections(MemberDescription member) {
		return Math.max(1, member.connectionLimit() / 2 - 1);
	}

	ConnectionPool pool(String member) {
		return this.pools.get(member);
	}

	MemberPoller poller(String member) {
		return this.pollers.get(member);
	}

	int reachableCount() {
		return (int) this.pollers.values().stream().filter(MemberPoller::isReachable).count();
	}

	void close() {
		this.pollers.keySet().stream().toList().forEach(this::remove);
	}

	/**
	 * Closes all statement connections to a member, which aborts the statements in
	 * progress, and replaces the connection pool.
	 * @param member the member
	 */
	void reconnect(String member) {
		ConnectionPool pool = this.pools.get(member);
		MemberPoller poller = this.pollers.get(member);
		if (pool != null && poller != null) {
			pool.close();
			this.pools.put(member, newPool(poller.member()));
		}
	}

	private void add(MemberDescription member) {
		MemberPoller poller = new MemberPoller(this.services, this.serial, member, this.listener);
		this.pollers.put(member.member(), poller);
		this.pools.put(member.member(), newPool(member));
		poller.start();
	}

	private ConnectionPool newPool(MemberDescription member) {
		return new ConnectionPool(this.services.connector(), member.address(), statementConnections(member),
				this.services.clock());
	}

	private void remove(String member) {
		this.pollers.remove(member).close();
		this.pools.remove(member).close();
	}

	/**
	 * Tells whether the connections to a member can be kept under a new view. Other
	 * fields, such as the leaving flag, do not affect connections.
	 * @param known the known member
	 * @param view the view of the group
	 * @return {@code true} if the address and the connection limit are unchanged
	 */
	private static boolean hasSameConnectionSettings(MemberDescription known, GroupView view) {
		return view.member(known.member())
			.filter((member) -> member.address().equals(known.address())
					&& member.connectionLimit() == known.connectionLimit())
			.isPresent();
	}

}
