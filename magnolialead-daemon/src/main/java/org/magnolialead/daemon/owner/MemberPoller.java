package org.magnolialead.daemon.owner;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.transport.member.MemberConnection;
import org.magnolialead.transport.member.MemberRequest;
import org.magnolialead.transport.member.MemberResponse;

/**
 * Polls the status of one database member over a dedicated connection. The requests are
 * long polls: the member answers when its log has grown, so that the owner learns
 * immediately when a replica has received a write. Confined to the serial executor of the
 * group.
 */
final class MemberPoller {

	private static final ObjectReader STATUS_READER = new ObjectMapper().readerFor(MemberStatus.class);

	private static final int HTTP_OK = 200;

	/**
	 * Longest time that the member holds a status request.
	 */
	private static final long LONG_POLL_MILLISECONDS = 100;

	/**
	 * Time beyond the long poll after which a status request fails. Well below the
	 * suspicion limit of 1,000 ms, so that a single lost answer does not cause a
	 * failover.
	 */
	private static final long ANSWER_TIMEOUT_MILLISECONDS = 300;

	private static final long RETRY_DELAY_MILLISECONDS = 50;

	/**
	 * Delay between two status requests. Bounds their rate under continuous writes.
	 */
	private static final long POLL_INTERVAL_MICROSECONDS = 500;

	private final OwnerServices services;

	private final Executor serial;

	private final MemberDescription member;

	private final Listener listener;

	private MemberConnection connection;

	private LogPosition knownPosition = LogPosition.NONE;

	private boolean reachable;

	private boolean closed;

	MemberPoller(OwnerServices services, Executor serial, MemberDescription member, Listener listener) {
		this.services = services;
		this.serial = serial;
		this.member = member;
		this.listener = listener;
	}

	MemberDescription member() {
		return this.member;
	}

	boolean isReachable() {
		return this.reachable;
	}

	void start() {
		poll();
	}

	void close() {
		this.closed = true;
		closeConnection();
	}

	private void poll() {
		if (this.closed) {
			return;
		}
		long deadline = this.services.now()
				+ TimeUnit.MILLISECONDS.toNanos(LONG_POLL_MILLISECONDS + ANSWER_TIMEOUT_MILLISECONDS);
		if (this.connection != null && this.connection.isOpen()) {
			requestStatus(deadline);
			return;
		}
		this.services.connector()
			.connect(this.member.address(), deadline)
			.whenCompleteAsync((opened, failure) -> connected(opened, failure, deadline), this.serial);
	}

	private void connected(MemberConnection opened, Throwable failure, long deadline) {
		if (failure != null) {
			failed(failure);
			return;
		}
		if (this.closed) {
			opened.close();
			return;
		}
		this.connection = opened;
		requestStatus(deadline);
	}

	private void requestStatus(long deadline) {
		long sentAt = this.services.now();
		// An unreachable member is polled without a wait, so that its return and its role
		// are known as soon as possible.
		long wait = this.reachable ? LONG_POLL_MILLISECONDS : 0;
		String path = "/status?least_term=%d&least_index=%d&wait_milliseconds=%d".formatted(this.knownPosition.term(),
				this.knownPosition.index() + 1, wait);
		this.connection.exchange(new MemberRequest("GET", path, new byte[0]), deadline)
			.whenCompleteAsync((reply, failure) -> answered(reply, failure, sentAt), this.serial);
	}

	private void answered(MemberResponse reply, Throwable failure, long sentAt) {
		if (this.closed) {
			return;
		}
		if (failure != null) {
			failed(failure);
			return;
		}
		MemberStatus status;
		try {
			status = read(reply);
		}
		catch (IOException | IllegalArgumentException ex) {
			failed(ex);
			return;
		}
		this.knownPosition = status.position();
		boolean becameReachable = !this.reachable;
		this.reachable = true;
		this.listener.statusAnswered(this.member, status, reply.position(), sentAt, becameReachable);
		pollAfter(POLL_INTERVAL_MICROSECONDS, TimeUnit.MICROSECONDS);
	}

	private MemberStatus read(MemberResponse reply) throws IOException {
		if (reply.status() != HTTP_OK) {
			throw new IOException("status request was answered with HTTP status " + reply.status());
		}
		MemberStatus status = STATUS_READER.readValue(reply.body());
		boolean sameMember = status.group().equals(this.member.group()) && status.member().equals(this.member.member());
		if (!sameMember) {
			throw new IOException("unexpected member %s/%s answered at %s".formatted(status.group(), status.member(),
					this.member.address()));
		}
		return status;
	}

	private void failed(Throwable failure) {
		closeConnection();
		if (this.reachable) {
			this.reachable = false;
			this.listener.statusFailed(this.member, failure);
		}
		pollAfter(RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
	}

	private void pollAfter(long delay, TimeUnit unit) {
		if (!this.closed) {
			this.services.timer().schedule(() -> this.serial.execute(this::poll), delay, unit);
		}
	}

	private void closeConnection() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	/**
	 * Sends one command to the member over a new connection.
	 * @param path path of the command
	 * @param body body as JSON
	 * @param deadline time of the monotonic clock in nanoseconds at which waiting ends
	 * @return the member's answer
	 */
	CompletableFuture<MemberResponse> sendCommand(String path, byte[] body, long deadline) {
		return this.services.connector()
			.connect(this.member.address(), deadline)
			.thenCompose((opened) -> opened.exchange(new MemberRequest("POST", path, body), deadline)
				.whenComplete((reply, failure) -> opened.close()));
	}

	/**
	 * Receives the results of status requests.
	 */
	interface Listener {

		/**
		 * Called when the member has answered a status request.
		 * @param member the member
		 * @param status its status with the position that it has received
		 * @param applied position that its reads see; behind the received position on a
		 * lagging replica
		 * @param sentAt time of the monotonic clock in nanoseconds at which the status
		 * was requested
		 * @param becameReachable whether the member was unreachable before
		 */
		void statusAnswered(MemberDescription member, MemberStatus status, LogPosition applied, long sentAt,
				boolean becameReachable);

		/**
		 * Called when a member that was reachable has become unreachable.
		 * @param member the member
		 * @param failure why the status request failed
		 */
		void statusFailed(MemberDescription member, Throwable failure);

	}

}
