package org.magnolialead.testsupport.standin;

/**
 * Faults and latencies that tests change while the stand-in runs. The counters state how
 * many of the following responses a fault affects. Confined to the event loop.
 */
final class FaultInjection {

	long lagMilliseconds;

	long readMilliseconds;

	long writeMilliseconds;

	long responseDelayMilliseconds;

	int delayedResponses;

	int duplicatedResponses;

	int swappedResponses;

	int droppedResponses;

	boolean dropClosesConnection;

	boolean statusFrozen;

	boolean replicationPaused;

	FaultInjection(StandInSettings settings) {
		this.lagMilliseconds = settings.lagMilliseconds();
		this.readMilliseconds = settings.readMilliseconds();
		this.writeMilliseconds = settings.writeMilliseconds();
	}

	boolean consumeDelay() {
		if (this.delayedResponses == 0) {
			return false;
		}
		this.delayedResponses--;
		return true;
	}

	boolean consumeDuplicate() {
		if (this.duplicatedResponses == 0) {
			return false;
		}
		this.duplicatedResponses--;
		return true;
	}

	boolean consumeSwap() {
		if (this.swappedResponses == 0) {
			return false;
		}
		this.swappedResponses--;
		return true;
	}

	boolean consumeDrop() {
		if (this.droppedResponses == 0) {
			return false;
		}
		this.droppedResponses--;
		return true;
	}

}
