package org.magnolialead.daemon.owner;

import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.daemon.filter.LeaseGate;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;
import org.magnolialead.transport.member.MemberConnector;

/**
 * Services shared by all group owners of a daemon.
 *
 * @param clock clock for all deadlines
 * @param executor executor for the serial executors of the groups
 * @param timer executor for delayed tasks
 * @param connector opens connections to database members
 * @param view current fleet view
 * @param leaseGate lease of this daemon
 * @param control submits commands to the control plane
 * @param readPolicy policy that selects the members for reads
 * @param schedulingPolicy policy for the order of queued requests
 */
record OwnerServices(MonotonicClock clock, Executor executor, ScheduledExecutorService timer, MemberConnector connector,
		Supplier<FleetView> view, LeaseGate leaseGate, CommandSubmitter control, ReadPolicy readPolicy,
		SchedulingPolicy schedulingPolicy) {

	long now() {
		return this.clock.nanoseconds();
	}

	boolean holdsLease() {
		return this.leaseGate.isHeld(now());
	}

}
