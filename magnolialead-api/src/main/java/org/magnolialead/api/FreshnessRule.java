package org.magnolialead.api;

/**
 * How fresh the data returned by a read must be.
 */
public enum FreshnessRule {

	/**
	 * Only the primary may answer.
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
	 * Any member that holds the last write of the session may answer.
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
	 * Like {@link #SESSION}, and the data must not be older than a stated age.
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
	 * Tells whether a replica may serve the read.
	 * @return {@code true} if a sufficiently fresh replica may answer
	 */
	public abstract boolean permitsReplica();

	/**
	 * Tells whether the age of the data is bounded by the profile.
	 * @return {@code true} if the maximum age of the profile applies
	 */
	public abstract boolean boundsAge();

}
