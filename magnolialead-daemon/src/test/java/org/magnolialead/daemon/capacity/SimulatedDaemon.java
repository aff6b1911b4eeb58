package org.magnolialead.daemon.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerCodec;

/**
 * Simulated entry daemon without callers. Sends real heartbeats over its own connection,
 * reports its owned groups and releases them on request. Stores only its own groups of
 * the fleet view so that hundreds of daemons fit into one process.
 */
final class SimulatedDaemon {

	private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 200;

	private static final long HEARTBEAT_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(350);

	private static final int MAXIMUM_RETRY_DELAY_MILLISECONDS = 200;

	/** One in this many heartbeats, on average, is encoded again to count its bytes. */
	private static final int BYTE_SAMPLE_INTERVAL = 20;

	private static final PeerCodec CODEC = new PeerCodec();

	private final String name;

	private final List<String> controlAddresses;

	private final ScheduledExecutorService timer;

	private final PeerClient client = new PeerClient(MonotonicClock.SYSTEM);

	private final Map<String, GroupView> owned = new ConcurrentHashMap<>();

	private final LongAdder heartbeats = new LongAdder();

	private final LongAdder sampled = new LongAdder();

	private final LongAdder sentBytes = new LongAdder();

	private final LongAdder receivedBytes = new LongAdder();

	private volatile List<MemberDescription> announcements = List.of();

	private volatile String leader;

	private volatile long version;

	private volatile long removalsVersion;

	private volatile long configurationVersion;

	private volatile boolean stopped;

	SimulatedDaemon(String name, List<String> controlAddresses, ScheduledExecutorService timer) {
		this.name = name;
		this.controlAddresses = controlAddresses;
		this.timer = timer;
		this.leader = controlAddresses.get(0);
		schedule(ThreadLocalRandom.current().nextLong(HEARTBEAT_INTERVAL_MILLISECONDS));
	}

	String name() {
		return this.name;
	}

	PeerClient client() {
		return this.client;
	}

	String leader() {
		return this.leader;
	}

	long version() {
		return this.version;
	}

	long configurationVersion() {
		return this.configurationVersion;
	}

	long heartbeats() {
		return this.heartbeats.sum();
	}

	double sentBytesPerHeartbeat() {
		return this.sentBytes.sum() / (double) Math.max(1, this.sampled.sum());
	}

	double receivedBytesPerHeartbeat() {
		return this.receivedBytes.sum() / (double) Math.max(1, this.sampled.sum());
	}

	void resetBytes() {
		this.sampled.reset();
		this.sentBytes.reset();
		this.receivedBytes.reset();
	}

	Map<String, GroupView> owned() {
		return this.owned;
	}

	void announce(List<MemberDescription> members) {
		this.announcements = List.copyOf(members);
	}

	/** Stops without notifying the control daemons, like a killed process. */
	void kill() {
		this.stopped = true;
		this.client.close();
	}

	private void schedule(long delay) {
		this.timer.schedule(this::sendHeartbeat, delay, TimeUnit.MILLISECONDS);
	}

	private void sendHeartbeat() {
		if (this.stopped) {
			return;
		}
		List<OwnedGroupReport> reports = new ArrayList<>();
		this.owned.forEach((group, view) -> reports
			.add(new OwnedGroupReport(group, view.ownerEpoch(), view.releaseRequested(), view.members().size())));
		HeartbeatRequest request = new HeartbeatRequest(this.name, "0123456789abcdef", "10.1.2.3:7101", "hanoi-1",
				false, this.version, this.removalsVersion, reports, this.announcements);
		confirmPrimaries();
		long sentAt = System.nanoTime();
		String address = this.leader;
		this.client.request(address, request, sentAt + HEARTBEAT_TIMEOUT_NANOSECONDS)
			.whenComplete((answer, failure) -> handleAnswer(address, request, sentAt, answer));
	}

	private void handleAnswer(String address, HeartbeatRequest request, long sentAt, Object message) {
		if (!(message instanceof HeartbeatAnswer answer)) {
			retry(address, "");
			return;
		}
		this.heartbeats.increment();
		if (ThreadLocalRandom.current().nextInt(BYTE_SAMPLE_INTERVAL) == 0) {
			this.sampled.increment();
			this.sentBytes.add(CODEC.encode(1, request).readableBytes());
			this.receivedBytes.add(CODEC.encode(1, answer).readableBytes());
		}
		FleetViewChange change = answer.change();
		if (change != null) {
			apply(change);
		}
		if (change != null && change.partial()) {
			schedule(0);
		}
		else if (answer.leaseMilliseconds() == 0) {
			retry(address, answer.leaderAddress());
		}
		else {
			long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
			schedule(Math.max(0, HEARTBEAT_INTERVAL_MILLISECONDS - elapsed));
		}
	}

	private void retry(String address, String hint) {
		int next = (this.controlAddresses.indexOf(address) + 1) % this.controlAddresses.size();
		this.leader = (!hint.isEmpty() && !hint.equals(address)) ? hint : this.controlAddresses.get(next);
		schedule(ThreadLocalRandom.current()
			.nextInt(MAXIMUM_RETRY_DELAY_MILLISECONDS / 2, MAXIMUM_RETRY_DELAY_MILLISECONDS));
	}

	private void apply(FleetViewChange change) {
		for (GroupView group : change.groups()) {
			if (!group.owner().equals(this.name)) {
				this.owned.remove(group.group());
				continue;
			}
			this.owned.put(group.group(), group);
		}
		if (change.configuration() != null) {
			this.configurationVersion = change.configuration().version();
		}
		this.removalsVersion = change.latestVersion();
		this.version = change.toVersion();
	}

	private void confirmPrimaries() {
		for (GroupView group : this.owned.values()) {
			if (group.term() == 0 && group.members().containsKey("member-0")) {
				submit(new ControlCommand.ConfirmPrimary(group.group(), group.ownerEpoch(), 1, "member-0"));
			}
		}
	}

	private void submit(ControlCommand command) {
		this.client.request(this.leader, new SubmitCommandRequest(command),
				System.nanoTime() + TimeUnit.SECONDS.toNanos(5));
	}

}
