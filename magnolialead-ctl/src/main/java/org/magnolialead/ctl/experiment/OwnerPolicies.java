package org.magnolialead.ctl.experiment;

import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;

/**
 * Policies of an owner that are compared.
 *
 * @param scheduling order in which waiting work is served
 * @param reads policy that determines which members serve reads
 */
record OwnerPolicies(SchedulingPolicy scheduling, ReadPolicy reads) {

	/** Policies of magnolialead. */
	static final OwnerPolicies MAGNOLIALEAD = new OwnerPolicies(SchedulingPolicy.RANK_FLOORS,
			ReadPolicy.FRESH_REPLICAS);

	FleetConfiguration configuration() {
		return FleetConfiguration.initial();
	}

}
