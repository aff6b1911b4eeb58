package org.magnolialead.engine.control;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.Profile;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;

/**
 * Applies changes of the configuration.
 */
final class ConfigurationRules {

	/**
	 * Maximum number of profiles, which limits the size of a heartbeat answer.
	 */
	static final int MAXIMUM_PROFILES = 256;

	private ConfigurationRules() {
	}

	static ApplyResult change(ControlState state, ChangeConfiguration change) {
		NameChecks.requireValid("request id", change.requestId());
		CommandResult recorded = state.answers().find(change.requestId());
		if (recorded != null) {
			return new ApplyResult(state, recorded);
		}
		ApplyResult applied = decide(state, change);
		RecordedAnswers answers = state.answers().with(change.requestId(), applied.result());
		return new ApplyResult(applied.state().withAnswers(answers), applied.result());
	}

	/**
	 * Replaces the routes unless the present table has the same or a higher number. The
	 * command is accepted in both cases, so that an operator who resends an accepted
	 * table receives the same answer.
	 * @param state the present state
	 * @param table the new routes
	 * @return the new state and the answer
	 */
	static ApplyResult replaceRoutes(ControlState state, RouteTable table) {
		FleetConfiguration present = state.configuration();
		if (table.number() <= present.routes().number()) {
			return new ApplyResult(state, CommandResult.accepted(present.version()));
		}
		FleetConfiguration next = new FleetConfiguration(present.version() + 1, present.profiles(),
				present.rankFloors(), present.queueLimit(), table);
		return new ApplyResult(state.withConfiguration(next), CommandResult.accepted(next.version()));
	}

	private static ApplyResult decide(ControlState state, ChangeConfiguration change) {
		FleetConfiguration present = state.configuration();
		if (change.expectedVersion() != present.version()) {
			return refused(state, ErrorCode.VERSION_CONFLICT,
					"CONFLICT: the change was made against configuration version %d, but version %d is in force"
						.formatted(change.expectedVersion(), present.version()));
		}
		try {
			Map<String, Profile> profiles = profilesAfter(present, change);
			FleetConfiguration next = new FleetConfiguration(present.version() + 1, profiles,
					(change.rankFloors() != null) ? change.rankFloors() : present.rankFloors(),
					(change.queueLimit() != null) ? change.queueLimit() : present.queueLimit(), present.routes());
			return new ApplyResult(state.withConfiguration(next), CommandResult.accepted(next.version()));
		}
		catch (IllegalArgumentException ex) {
			return refused(state, ErrorCode.BAD_REQUEST, ex.getMessage());
		}
		catch (NullPointerException ex) {
			return refused(state, ErrorCode.BAD_REQUEST, "change lacks a required value");
		}
	}

	private static Map<String, Profile> profilesAfter(FleetConfiguration present, ChangeConfiguration change) {
		Map<String, Profile> profiles = new HashMap<>(present.profiles());
		for (String name : change.removeProfiles()) {
			if (profiles.remove(name) == null) {
				throw new IllegalArgumentException("no profile \"%s\" to remove".formatted(name));
			}
		}
		// Sorted so that all control daemons report the same error first.
		new TreeMap<>(change.putProfiles()).forEach((name, profile) -> {
			if (!name.equals(profile.name())) {
				throw new IllegalArgumentException(
						"profile \"%s\" is listed under the name \"%s\"".formatted(profile.name(), name));
			}
			profiles.put(name, profile);
		});
		if (profiles.size() > MAXIMUM_PROFILES) {
			throw new IllegalArgumentException(
					"at most %d profiles are allowed, found %d".formatted(MAXIMUM_PROFILES, profiles.size()));
		}
		return profiles;
	}

	private static ApplyResult refused(ControlState state, ErrorCode error, String message) {
		return new ApplyResult(state, CommandResult.refused(error, message, state.configuration().version()));
	}

}
