package org.magnolialead.processtests;

/**
 * Lets time pass where a test is about what happens meanwhile, such as the length of a
 * cut.
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
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
