package org.magnolialead.ctl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.ErrorAnswer;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.api.message.ViewAnswer;
import org.magnolialead.api.message.ViewQuery;

/**
 * Client of the control daemons that locates the leader.
 */
final class ControlClient {

	/**
	 * Maximum number of attempts. An election takes about 1 s; the delays between the
	 * attempts add up to at most 4 s.
	 */
	private static final int MAXIMUM_ATTEMPTS = 20;

	private static final long RETRY_DELAY_MILLISECONDS = 200;

	private final ControlConnectionFactory connections;

	private final List<String> addresses;

	ControlClient(ControlConnectionFactory connections, List<String> addresses) {
		this.connections = connections;
		this.addresses = List.copyOf(addresses);
	}

	/**
	 * Returns the state of one control daemon.
	 * @param address address of the daemon
	 * @return its state
	 * @throws MagnolialeadException if the daemon is unreachable or responds with an
	 * error
	 */
	ViewAnswer view(String address) {
		return requireType(ViewAnswer.class, request(address, new ViewQuery()));
	}

	/**
	 * Returns the state of the leader.
	 * @return its state
	 * @throws CtlException if no leader is found
	 */
	ViewAnswer leaderView() {
		return retryUntilAnswered((address) -> {
			ViewAnswer answer = view(address);
			return answer.leader() ? Attempt.success(answer) : Attempt.redirect(answer.leaderAddress());
		});
	}

	/**
	 * Submits a command to the leader. Resubmits the command if the response is lost,
	 * which is safe because the control daemons detect commands that they have already
	 * applied.
	 * @param command the command
	 * @return the result
	 * @throws CtlException if the command is refused or no leader is found
	 */
	CommandResult submit(ControlCommand command) {
		CommandResult result = retryUntilAnswered((address) -> {
			SubmitCommandAnswer answer = requireType(SubmitCommandAnswer.class,
					request(address, new SubmitCommandRequest(command)));
			return (answer.result() != null) ? Attempt.success(answer.result())
					: Attempt.redirect(answer.leaderAddress());
		});
		if (!result.isAccepted()) {
			throw CtlException.failure("refused with %s (%d) at version %d: %s".formatted(result.error(),
					result.error().number(), result.version(), result.message()));
		}
		return result;
	}

	Object request(String address, Object message) {
		Object answer = this.connections.connect(address).request(message);
		if (answer instanceof ErrorAnswer error) {
			throw new MagnolialeadException(error.error(), error.step(), address, error.message());
		}
		return answer;
	}

	static <T> T requireType(Class<T> type, Object answer) {
		if (!type.isInstance(answer)) {
			throw CtlException.failure("unexpected response of type " + answer.getClass().getSimpleName());
		}
		return type.cast(answer);
	}

	private <T> T retryUntilAnswered(AttemptFunction<T> function) {
		Deque<String> candidates = new ArrayDeque<>(this.addresses);
		String lastFailure = "no control daemon reports that it is the leader";
		for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
			if (candidates.isEmpty()) {
				pause();
				candidates.addAll(this.addresses);
			}
			String address = candidates.removeFirst();
			try {
				Attempt<T> result = function.attempt(address);
				if (result.value() != null) {
					return result.value();
				}
				if (!result.leaderAddress().isEmpty() && !result.leaderAddress().equals(address)) {
					candidates.addFirst(result.leaderAddress());
				}
			}
			catch (MagnolialeadException ex) {
				if (ex.code() == ErrorCode.BAD_REQUEST) {
					throw CtlException.failure(ex.toString());
				}
				lastFailure = address + ": " + ex.getMessage();
			}
		}
		throw CtlException.failure("no leader among %s after %d attempts; last failure: %s".formatted(this.addresses,
				MAXIMUM_ATTEMPTS, lastFailure));
	}

	private static void pause() {
		try {
			Thread.sleep(RETRY_DELAY_MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CtlException.failure("interrupted while waiting for a leader");
		}
	}

	/**
	 * Sends a request to one address.
	 *
	 * @param <T> type of the response
	 */
	@FunctionalInterface
	private interface AttemptFunction<T> {

		Attempt<T> attempt(String address);

	}

	/**
	 * Result of an attempt.
	 *
	 * @param <T> type of the response
	 * @param value the response, or {@code null} if the daemon is not the leader
	 * @param leaderAddress address of the leader if known, otherwise an empty string
	 */
	private record Attempt<T>(T value, String leaderAddress) {

		static <T> Attempt<T> success(T value) {
			return new Attempt<>(value, "");
		}

		static <T> Attempt<T> redirect(String leaderAddress) {
			return new Attempt<>(null, (leaderAddress != null) ? leaderAddress : "");
		}

	}

}
