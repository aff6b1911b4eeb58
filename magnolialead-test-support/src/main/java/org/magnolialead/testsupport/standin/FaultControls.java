package org.magnolialead.testsupport.standin;

/**
 * Faults and times that tests change while the stand-in runs. Used on the event loop
 * only.
 */
final class FaultControls {

	long lagMilliseconds;

	long readMilliseconds;

	long writeMilliseconds;

	long answerDelayMilliseconds;

	int delayedAnswers;

	int duplicatedAnswers;

	int swappedAnswers;

	int droppedAnswers;

	boolean dropClosesConnection;

	boolean statusFrozen;

	boolean replicationPaused;

	FaultControls(StandInSettings settings) {
		this.lagMilliseconds = settings.lagMilliseconds();
		this.readMilliseconds = settings.readMilliseconds();
		this.writeMilliseconds = settings.writeMilliseconds();
	}

	boolean takeDelayed() {
		if (this.delayedAnswers == 0) {
			return false;
		}
		this.delayedAnswers--;
		return true;
	}

	boolean takeDuplicated() {
		if (this.duplicatedAnswers == 0) {
			return false;
		}
		this.duplicatedAnswers--;
		return true;
	}

	boolean takeSwapped() {
		if (this.swappedAnswers == 0) {
			return false;
		}
		this.swappedAnswers--;
		return true;
	}

	boolean takeDropped() {
		if (this.droppedAnswers == 0) {
			return false;
		}
		this.droppedAnswers--;
		return true;
	}

}
