package org.magnolialead.ctl.experiment;

import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;

/**
 * Policies under test.
 *
 * @param scheduling order in which work is served
 * @param reads members that serve reads
 */
record OwnerPolicies(SchedulingPolicy scheduling, ReadPolicy reads) {

	/** Policies of magnolialead. */
	static final OwnerPolicies MAGNOLIALEAD = new OwnerPolicies(SchedulingPolicy.RANK_FLOORS,
			ReadPolicy.FRESH_REPLICAS);

	FleetConfiguration configuration() {
		return FleetConfiguration.initial();
	}

}
