package org.magnolialead.ctl.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;

/**
 * Model of a database group with a primary, two replicas and asynchronous replication. A
 * replica receives a record after the one-way delay, and its reads see the record after
 * the replication lag.
 */
final class SimulatedGroup {

	static final String NAME = "group";

	static final String FIRST_PRIMARY = "member-1";

	private static final int MEMBERS = 3;

	private static final double MEAN_SERVICE_NANOSECONDS = 5.0 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private final VirtualClock clock;

	private final Random random;

	private final Deployment deployment;

	private final long lagNanoseconds;

	private final Map<String, SimulatedMember> members = new TreeMap<>();

	private GroupView view;

	SimulatedGroup(VirtualClock clock, Random random, Deployment deployment, long lagNanoseconds) {
		this.clock = clock;
		this.random = random;
		this.deployment = deployment;
		this.lagNanoseconds = lagNanoseconds;
		Map<String, MemberDescription> descriptions = new HashMap<>();
		for (int i = 1; i <= MEMBERS; i++) {
			String name = "member-" + i;
			this.members.put(name, new SimulatedMember(clock, name));
			descriptions.put(name, new MemberDescription(NAME, name, name + ":1", "zone-" + i,
					Deployment.SLOTS_PER_MEMBER, deployment.connectionLimit(), false));
		}
		member(FIRST_PRIMARY).changeRole(MemberRole.PRIMARY, 1);
		this.view = new GroupView(NAME, 1, 1, FIRST_PRIMARY, 1, "", "daemon-0", 1, descriptions);
	}

	VirtualClock clock() {
		return this.clock;
	}

	Random random() {
		return this.random;
	}

	Deployment deployment() {
		return this.deployment;
	}

	GroupView view() {
		return this.view;
	}

	Map<String, SimulatedMember> members() {
		return this.members;
	}

	SimulatedMember member(String name) {
		return this.members.get(name);
	}

	/**
	 * Samples the service time of a statement: half of the mean is constant, the other
	 * half is exponentially distributed.
	 * @return the time in nanoseconds
	 */
	long sampleServiceNanoseconds() {
		return (long) (MEAN_SERVICE_NANOSECONDS * (0.5 - 0.5 * Math.log(1 - this.random.nextDouble())));
	}

	LogPosition write(SimulatedMember primary) {
		LogPosition position = primary.append();
		for (SimulatedMember member : this.members.values()) {
			if (member != primary) {
				long lag = (long) (this.lagNanoseconds * (0.5 + this.random.nextDouble()));
				this.clock.schedule(this.deployment.oneWayDelayNanoseconds(), () -> member.replicate(position, lag));
			}
		}
		return position;
	}

	void reservePromotion(long term, String candidate) {
		this.view = new GroupView(NAME, this.view.version() + 1, this.view.term(), this.view.primary(), term, candidate,
				this.view.owner(), this.view.ownerEpoch(), this.view.members());
	}

	void confirmPrimary(long term, String primary) {
		this.view = new GroupView(NAME, this.view.version() + 1, term, primary, term, "", this.view.owner(),
				this.view.ownerEpoch(), this.view.members());
	}

	int peakConnections() {
		return this.members.values().stream().mapToInt(SimulatedMember::peakConnections).max().orElse(0);
	}

}
