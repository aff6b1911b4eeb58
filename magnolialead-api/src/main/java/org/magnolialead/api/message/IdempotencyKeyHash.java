package org.magnolialead.api.message;

/**
 * Hash of an idempotency key that is equal on all daemons.
 */
public final class IdempotencyKeyHash {

	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private IdempotencyKeyHash() {
	}

	/**
	 * Returns the FNV-1a hash of a key with 64 bits.
	 * @param key the key
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
	 * Returns the page of a hash.
	 * @param hash the hash
	 * @param pages number of pages
	 * @return the page from 0
	 */
	public static int page(long hash, int pages) {
		return (int) Long.remainderUnsigned(hash, pages);
	}

}
