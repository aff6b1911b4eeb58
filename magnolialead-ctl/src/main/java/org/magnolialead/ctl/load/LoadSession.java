package org.magnolialead.ctl.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Session of a client that sends each request to a randomly chosen daemon.
 */
final class LoadSession {

	private final String name;

	private final TokenUse tokenUse;

	private final List<SessionKey> keys = new ArrayList<>();

	private final AtomicReference<String> token = new AtomicReference<>("");

	LoadSession(String name, TokenUse tokenUse, int keyCount, List<String> groups) {
		this.name = name;
		this.tokenUse = tokenUse;
		for (int i = 0; i < keyCount; i++) {
			String group = groups.get(Math.floorMod(name.hashCode() + i, groups.size()));
			this.keys.add(new SessionKey(name + "-k" + i, group));
		}
	}

	String name() {
		return this.name;
	}

	TokenUse tokenUse() {
		return this.tokenUse;
	}

	SessionKey key(int index) {
		return this.keys.get(index);
	}

	/**
	 * Returns the token to send.
	 * @return the token, or an empty string
	 */
	String token() {
		return this.token.get();
	}

	void updateToken(String received) {
		if (received.isEmpty()) {
			return;
		}
		switch (this.tokenUse) {
			case LATEST -> this.token.set(received);
			case OLDEST -> this.token.compareAndSet("", received);
			case NONE -> {
			}
		}
	}

	/**
	 * Session token that a session sends.
	 */
	enum TokenUse {

		/** The token received last. */
		LATEST,
		/** The first token received. */
		OLDEST,
		/** No token. */
		NONE

	}

}
