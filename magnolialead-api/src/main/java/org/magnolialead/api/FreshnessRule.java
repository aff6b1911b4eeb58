package org.magnolialead.api;

/**
 * Rule for the freshness of the data that a read returns.
 */
public enum FreshnessRule {

	/**
	 * Only the primary may serve the read.
	 */
	LATEST {

		@Override
		public boolean permitsReplica() {
			return false;
		}

		@Override
		public boolean boundsAge() {
			return false;
		}

	},

	/**
	 * Any member that has the last write of the session may serve the read.
	 */
	SESSION {

		@Override
		public boolean permitsReplica() {
			return true;
		}

		@Override
		public boolean boundsAge() {
			return false;
		}

	},

	/**
	 * Like {@link #SESSION}, but additionally bounds the age of the data.
	 */
	MAXIMUM_AGE {

		@Override
		public boolean permitsReplica() {
			return true;
		}

		@Override
		public boolean boundsAge() {
			return true;
		}

	};

	/**
	 * Returns whether a replica may serve the read.
	 * @return {@code true} if a sufficiently fresh replica may serve the read
	 */
	public abstract boolean permitsReplica();

	/**
	 * Returns whether the rule bounds the age of the data.
	 * @return {@code true} if the maximum age of the profile or route applies
	 */
	public abstract boolean boundsAge();

}
