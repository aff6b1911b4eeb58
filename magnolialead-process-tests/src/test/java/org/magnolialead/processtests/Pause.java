package org.magnolialead.processtests;

/**
 * Lets time pass where a test is about what happens meanwhile, such as the length of a
 * cut.
 */
final class Pause {

	private Pause() {
	}

	static void milliseconds(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
