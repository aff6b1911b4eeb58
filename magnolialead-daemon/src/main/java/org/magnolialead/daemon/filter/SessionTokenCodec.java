package org.magnolialead.daemon.filter;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;

/**
 * Signs and verifies session tokens. A token is the base64url encoding of a version byte,
 * the session, its positions and an HMAC-SHA256 of these.
 */
public final class SessionTokenCodec {

	/**
	 * Minimum length of the key in bytes.
	 */
	public static final int MINIMUM_KEY_BYTES = 16;

	private static final int VERSION = 1;

	private static final int SIGNATURE_BYTES = 32;

	/**
	 * Maximum length of a token in characters. Longer tokens are rejected before
	 * decoding; a token of 32 groups with names of 64 characters has about 4,400
	 * characters.
	 */
	private static final int MAXIMUM_TOKEN_LENGTH = 8_192;

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	/**
	 * Creates a codec. All entry daemons must use the same key.
	 * @param key secret key, at least {@link #MINIMUM_KEY_BYTES} long
	 * @throws IllegalArgumentException if the key is too short
	 */
	public SessionTokenCodec(byte[] key) {
		if (key.length < MINIMUM_KEY_BYTES) {
			throw new IllegalArgumentException(
					"the key must have at least %d bytes, found %d".formatted(MINIMUM_KEY_BYTES, key.length));
		}
		this.key = new SecretKeySpec(key, ALGORITHM);
	}

	/**
	 * Encodes and signs a token.
	 * @param token the token
	 * @return the encoded token
	 */
	public String encode(SessionToken token) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream output = new DataOutputStream(bytes)) {
			output.writeByte(VERSION);
			output.writeUTF(token.session());
			output.writeByte(token.positions().size());
			for (Map.Entry<String, LogPosition> position : token.positions().entrySet()) {
				output.writeUTF(position.getKey());
				output.writeLong(position.getValue().term());
				output.writeLong(position.getValue().index());
			}
			output.write(sign(bytes.toByteArray()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.toByteArray());
	}

	/**
	 * Verifies and decodes a token.
	 * @param text the encoded token
	 * @return the token
	 * @throws MagnolialeadException with code {@code INVALID_SESSION_TOKEN} if the token
	 * is malformed, has an unsupported version or is not signed with the key
	 */
	public SessionToken decode(String text) {
		byte[] signed = decodeText(text);
		int contentLength = signed.length - SIGNATURE_BYTES;
		if (contentLength < 1) {
			throw invalid("the session token is too short", null);
		}
		byte[] content = Arrays.copyOf(signed, contentLength);
		byte[] signature = Arrays.copyOfRange(signed, contentLength, signed.length);
		if (!MessageDigest.isEqual(signature, sign(content))) {
			throw invalid("the session token has an invalid signature", null);
		}
		return read(content);
	}

	private static byte[] decodeText(String text) {
		if (text.length() > MAXIMUM_TOKEN_LENGTH) {
			throw invalid("the session token is too long", null);
		}
		try {
			return Base64.getUrlDecoder().decode(text);
		}
		catch (IllegalArgumentException ex) {
			throw invalid("the session token is not valid base64url", ex);
		}
	}

	private static SessionToken read(byte[] content) {
		try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(content))) {
			int version = input.readUnsignedByte();
			if (version != VERSION) {
				throw invalid("the session token has the unsupported version " + version, null);
			}
			String session = input.readUTF();
			Map<String, LogPosition> positions = new LinkedHashMap<>();
			for (int remaining = input.readUnsignedByte(); remaining > 0; remaining--) {
				positions.put(input.readUTF(), new LogPosition(input.readLong(), input.readLong()));
			}
			return new SessionToken(session, positions);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw invalid("the session token is malformed", ex);
		}
	}

	private byte[] sign(byte[] content) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			return mac.doFinal(content);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform provides " + ALGORITHM, ex);
		}
	}

	private static MagnolialeadException invalid(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.INVALID_SESSION_TOKEN, Step.SESSION, "", message, cause);
	}

}
