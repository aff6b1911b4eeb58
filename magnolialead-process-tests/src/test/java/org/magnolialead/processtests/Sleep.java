package org.magnolialead.processtests;

/**
 * Sleeps in tests that need a fixed time to pass, such as the duration of a network
 * partition.
 */
final class Sleep {

	private Sleep() {
	}

	static void forMilliseconds(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while sleeping", ex);
		}
	}

}
