package org.magnolialead.api.message;

/**
 * Hash function for idempotency keys. All daemons compute the same hash for a key.
 */
public final class IdempotencyKeyHash {

	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private IdempotencyKeyHash() {
	}

	/**
	 * Returns the 64-bit FNV-1a hash of the UTF-16 code units of a key.
	 * @param key the idempotency key
	 * @return the hash
	 */
	public static long of(String key) {
		long hash = FNV_OFFSET_BASIS;
		for (int index = 0; index < key.length(); index++) {
			hash = (hash ^ key.charAt(index)) * FNV_PRIME;
		}
		return hash;
	}

	/**
	 * Returns the page that a hash belongs to.
	 * @param hash hash of an idempotency key
	 * @param pages number of pages
	 * @return number of the page, from 0
	 */
	public static int page(long hash, int pages) {
		return (int) Long.remainderUnsigned(hash, pages);
	}

}
