package org.magnolialead.daemon.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.transport.peer.PeerCodec;
import org.magnolialead.transport.peer.PeerHandler;

/**
 * Simulated connections between daemons. Messages are encoded and decoded as on the wire.
 */
final class SimulatedPeers {

	private static final long LATENCY_MICROSECONDS = 200;

	/** Time until a lost connection is noticed. */
	private static final long DETECTION_MILLISECONDS = 400;

	private final ManualLoop loop;

	private final PeerCodec codec = new PeerCodec();

	private final Map<String, SessionService> services = new HashMap<>();

	private final Map<String, PeerHandler> connections = new HashMap<>();

	private final Set<String> dead = new HashSet<>();

	private final Set<String> silent = new HashSet<>();

	private int answersToLose;

	SimulatedPeers(ManualLoop loop) {
		this.loop = loop;
	}

	void add(String address, SessionService service) {
		this.services.put(address, service);
	}

	/**
	 * Ends a process: its connections are closed, and new ones are refused.
	 * @param address address of the daemon
	 */
	void kill(String address) {
		this.dead.add(address);
		this.connections.keySet().removeIf((connection) -> connection.endsWith(">" + address));
	}

	/**
	 * Freezes a process: messages to it get no answer.
	 * @param address address of the daemon
	 */
	void freeze(String address) {
		this.silent.add(address);
	}

	/**
	 * Loses the next answers. Their connection counts as lost, so its handler is told
	 * that it was closed.
	 * @param count number of answers to lose
	 */
	void loseAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Closes the connections to a daemon.
	 * @param address address of the daemon
	 */
	void closeConnections(String address) {
		Map.copyOf(this.connections).forEach((connection, handler) -> {
			if (connection.endsWith(">" + address)) {
				this.connections.remove(connection);
				handler.connectionClosed();
			}
		});
	}

	ForwardingLink link(String sender) {
		return new ForwardingLink() {

			@Override
			public CompletableFuture<Object> request(String address, Object message, long deadline) {
				try {
					return SimulatedPeers.this.request(sender + ">" + address, address, copy(message));
				}
				catch (IllegalArgumentException ex) {
					return CompletableFuture.failedFuture(failure(ErrorCode.REQUEST_TOO_LARGE, address));
				}
			}

			@Override
			public void send(String address, Object message) {
				Object copied = copy(message);
				Runnable delivery = () -> handler(sender + ">" + address, address).handle(copied);
				SimulatedPeers.this.loop.schedule(delivery, LATENCY_MICROSECONDS, TimeUnit.MICROSECONDS);
			}

		};
	}

	private CompletableFuture<Object> request(String connection, String address, Object message) {
		CompletableFuture<Object> answer = new CompletableFuture<>();
		this.loop.schedule(() -> {
			if (this.dead.contains(address)) {
				answer.completeExceptionally(failure(ErrorCode.UNREACHABLE, address));
				return;
			}
			if (this.silent.contains(address)) {
				failAfterDetection(answer, address);
				return;
			}
			handle(handler(connection, address), message).whenComplete((reply, failure) -> {
				if (this.dead.contains(address)) {
					answer.completeExceptionally(failure(ErrorCode.NO_ANSWER, address));
				}
				else if (this.answersToLose > 0) {
					this.answersToLose--;
					closeConnections(address);
					failAfterDetection(answer, address);
				}
				else if (failure != null) {
					answer.completeExceptionally(failure);
				}
				else {
					Object copied = copy(reply);
					Runnable delivery = () -> answer.complete(copied);
					this.loop.schedule(delivery, LATENCY_MICROSECONDS, TimeUnit.MICROSECONDS);
				}
			});
		}, LATENCY_MICROSECONDS, TimeUnit.MICROSECONDS);
		return answer;
	}

	private static CompletableFuture<Object> handle(PeerHandler handler, Object message) {
		try {
			return handler.handle(message);
		}
		catch (MagnolialeadException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void failAfterDetection(CompletableFuture<Object> answer, String address) {
		Runnable detection = () -> answer.completeExceptionally(failure(ErrorCode.NO_ANSWER, address));
		this.loop.schedule(detection, DETECTION_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private PeerHandler handler(String connection, String address) {
		return this.connections.computeIfAbsent(connection, (absent) -> this.services.get(address).forwardingHandler());
	}

	private static MagnolialeadException failure(ErrorCode code, String address) {
		return new MagnolialeadException(code, Step.FORWARD, address, "simulated failure");
	}

	private Object copy(Object message) {
		ByteBuf frame = this.codec.encode(1, message);
		frame.skipBytes(Integer.BYTES);
		return this.codec.decode(frame).message();
	}

}
