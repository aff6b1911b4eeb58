package org.magnolialead.api;

import java.nio.charset.Charset;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/**
 * Digest of a key of a client account. Entry daemons compare digests, so that they store
 * no keys, and the time of a comparison does not depend on how many characters agree.
 *
 * @param value the digest in Base64 without padding
 */
public record KeyDigest(String value) {

	/**
	 * Digest of a client whose key is not needed. It differs from those of all keys.
	 */
	public static final KeyDigest NONE = new KeyDigest("none");

	/**
	 * Number of bytes that are kept of a SHA-256 digest. No other key with the same 128
	 * bits can be found, and the digests are a part of every view that daemons receive.
	 */
	private static final int BYTES = 16;

	public KeyDigest {
		if (value == null || value.isEmpty()) {
			throw new IllegalArgumentException("value must not be empty");
		}
	}

	/**
	 * Computes the digest of a key.
	 * @param key the key
	 * @param charset encoding in which clients send the key
	 * @return the digest
	 */
	public static KeyDigest of(String key, Charset charset) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(charset));
			return new KeyDigest(Base64.getEncoder().withoutPadding().encodeToString(Arrays.copyOf(digest, BYTES)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
