package org.magnolialead.daemon.filter;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.magnolialead.api.LogPosition;

/**
 * Session of a caller with the positions of its last writes.
 *
 * @param session name of the session, or an empty string for none
 * @param positions positions by group, in the order of the last write; at most
 * {@link #MAXIMUM_GROUPS}
 */
public record SessionToken(String session, Map<String, LogPosition> positions) {

	/**
	 * Maximum number of groups whose positions a token contains. Bounds the size of the
	 * header; for other groups the session table of the owner still applies.
	 */
	public static final int MAXIMUM_GROUPS = 32;

	/**
	 * No session.
	 */
	public static final SessionToken NONE = new SessionToken("", Map.of());

	public SessionToken {
		Objects.requireNonNull(session, "session must not be null");
		positions = Collections.unmodifiableMap(new LinkedHashMap<>(positions));
		if (positions.size() > MAXIMUM_GROUPS) {
			throw new IllegalArgumentException(
					"a token contains at most %d groups, found %d".formatted(MAXIMUM_GROUPS, positions.size()));
		}
	}

	/**
	 * Returns the token of a session that has written nothing.
	 * @param session name of the session
	 * @return the token
	 */
	public static SessionToken of(String session) {
		return new SessionToken(session, Map.of());
	}

	/**
	 * Returns the position of the last write to a group.
	 * @param group name of the group
	 * @return the position, or {@link LogPosition#NONE}
	 */
	public LogPosition position(String group) {
		return this.positions.getOrDefault(group, LogPosition.NONE);
	}

	/**
	 * Returns a token that includes a write. If the token would contain too many groups,
	 * the least recently written group is dropped.
	 * @param group name of the group
	 * @param position position of the write
	 * @return the token
	 */
	public SessionToken withWrite(String group, LogPosition position) {
		Map<String, LogPosition> updated = new LinkedHashMap<>(this.positions);
		LogPosition current = updated.remove(group);
		updated.put(group, (current != null) ? LogPosition.later(current, position) : position);
		if (updated.size() > MAXIMUM_GROUPS) {
			updated.remove(updated.keySet().iterator().next());
		}
		return new SessionToken(this.session, updated);
	}

}
