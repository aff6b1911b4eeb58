package org.magnolialead.engine.owner;

import org.magnolialead.api.Profile;

/**
 * Policy that determines which members serve reads.
 */
public enum ReadPolicy {

	/** Replicas that are fresh enough for the profile, and the primary. */
	FRESH_REPLICAS {

		@Override
		boolean permitsReplica(Profile profile) {
			return profile.freshness().permitsReplica();
		}

	},

	/** Only the primary; the baseline of experiments. */
	PRIMARY_ONLY {

		@Override
		boolean permitsReplica(Profile profile) {
			return false;
		}

	};

	abstract boolean permitsReplica(Profile profile);

}
