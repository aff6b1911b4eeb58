package org.magnolialead.daemon.filter;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;

class SessionTokenCodecTests {

	private static final long SEED = 90_210;

	private final SessionTokenCodec codec = codec("0123456789abcdef");

	/**
	 * Guards against a token that loses the latest position of a group.
	 */
	@Test
	void tokenKeepsSessionAndLatestPositions() {
		SessionToken token = SessionToken.of("s");
		for (int number = 0; number < 40; number++) {
			token = token.withWrite("group" + number, new LogPosition(2, number));
		}
		token = token.withWrite("group39", new LogPosition(1, 99));
		SessionToken decoded = this.codec.decode(this.codec.encode(token));
		TestChecks.checkEquals(token, decoded);
		TestChecks.checkEquals(SessionToken.MAXIMUM_GROUPS, decoded.positions().size());
		TestChecks.checkEquals(new LogPosition(2, 39), decoded.position("group39"));
		TestChecks.checkEquals(LogPosition.NONE, decoded.position("group0"));
		List<String> order = new ArrayList<>(decoded.positions().keySet());
		TestChecks.checkEquals("group8", order.get(0));
	}

	/**
	 * Guards against acceptance of forged, modified or truncated tokens.
	 */
	@Test
	void modifiedTokensAreRejected() {
		System.out.println("seed " + SEED);
		Random random = new Random(SEED);
		String text = this.codec.encode(new SessionToken("s", Map.of("g", new LogPosition(1, 7))));
		List<String> invalid = new ArrayList<>(
				List.of("", "%%%", "AQ", "A".repeat(100_000), codec("another key 0123").encode(SessionToken.of("s"))));
		for (int length = 0; length < text.length(); length++) {
			invalid.add(text.substring(0, length));
		}
		for (int count = 0; count < 500; count++) {
			StringBuilder changed = new StringBuilder(text);
			int index = random.nextInt(text.length() - 1);
			changed.setCharAt(index, (changed.charAt(index) == 'B') ? 'C' : 'B');
			invalid.add(changed.toString());
		}
		for (String token : invalid) {
			MagnolialeadException failure = TestChecks.checkThrows(MagnolialeadException.class,
					() -> this.codec.decode(token));
			TestChecks.checkEquals(ErrorCode.INVALID_SESSION_TOKEN, failure.code());
		}
	}

	private static SessionTokenCodec codec(String key) {
		return new SessionTokenCodec(key.getBytes(StandardCharsets.US_ASCII));
	}

}
