package org.magnolialead.processtests;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Profile;
import org.magnolialead.api.Rank;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.transport.peer.PeerClient;

/**
 * Submits commands to control daemons over the peer protocol, as the command line of
 * operators does.
 */
final class ControlClient implements AutoCloseable {

	private static final long RESPONSE_TIMEOUT_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

	private final PeerClient client = new PeerClient(MonotonicClock.SYSTEM);

	private final TestFleet testFleet;

	ControlClient(TestFleet testFleet) {
		this.testFleet = testFleet;
	}

	/**
	 * Submits a command to one control daemon.
	 * @param control name of the control daemon
	 * @param command the command
	 * @return the result, or empty if the daemon is not the leader, does not answer or
	 * does not know the result
	 */
	Optional<CommandResult> submitTo(String control, ControlCommand command) {
		try {
			Object answer = this.client
				.request(this.testFleet.fleet().peerAddress(control), new SubmitCommandRequest(command),
						MonotonicClock.SYSTEM.nanoseconds() + RESPONSE_TIMEOUT_NANOSECONDS)
				.join();
			return (answer instanceof SubmitCommandAnswer submitted) ? Optional.ofNullable(submitted.result())
					: Optional.empty();
		}
		catch (CompletionException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Submits a command to the leader and retries until there is a result. Retries are
	 * safe, because they repeat the request id.
	 * @param command the command
	 * @return the result
	 */
	CommandResult submit(ControlCommand command) {
		CommandResult[] result = new CommandResult[1];
		this.testFleet.fleet().await("a result of " + command, () -> {
			result[0] = this.testFleet.fleet().leader().flatMap((leader) -> submitTo(leader, command)).orElse(null);
			return result[0] != null;
		});
		return result[0];
	}

	long configurationVersion() {
		this.testFleet.fleet().await("a leader", () -> this.testFleet.leaderView().isPresent());
		return this.testFleet.fleet()
			.views()
			.values()
			.stream()
			.mapToLong((view) -> view.view().configuration().version())
			.max()
			.orElseThrow();
	}

	static ChangeConfiguration putProfile(String requestId, long version, String profile, long maximumAgeMilliseconds) {
		Profile changed = new Profile(profile, Rank.STANDARD, FreshnessRule.MAXIMUM_AGE, maximumAgeMilliseconds, true,
				true);
		return new ChangeConfiguration(requestId, version, Map.of(profile, changed), List.of(), null, null);
	}

	static ChangeConfiguration removeProfile(String requestId, long version, String profile) {
		return new ChangeConfiguration(requestId, version, Map.of(), List.of(profile), null, null);
	}

	@Override
	public void close() {
		this.client.close();
	}

}
