package org.magnolialead.daemon.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.command.ControlCommand.FinishRequest;
import org.magnolialead.api.message.SubmitCommandAnswer;
import org.magnolialead.api.message.SubmitCommandRequest;
import org.magnolialead.daemon.control.ControlStateMachine;
import org.magnolialead.engine.control.ControlState;

/**
 * Measures the capacity of a control cluster of three members with simulated entry
 * daemons. The first argument is the parent folder for the files; each further argument
 * is a fleet size in the form {@code daemons:groups}.
 */
public final class ControlCapacity {

	private static final String[] SIZES = { "50:100", "200:400", "710:1200" };

	private static final String[] CONTROL_THREADS = { "peer-server", "control-" };

	private static final long STEADY_STATE_MILLISECONDS = 8_000;

	private static final int CONFIGURATION_CHANGES = 7;

	private static final int[] PAIR_CLIENTS = { 16, 256, 2_048 };

	private static final long PAIR_DURATION_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);

	private static final int ANSWER_BYTES = 200;

	private final ControlCluster cluster;

	private final List<SimulatedDaemon> daemons = new ArrayList<>();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Measure.threads("simulated"));

	private final AtomicLong keys = new AtomicLong();

	private final int groups;

	private ControlCapacity(ControlCluster cluster, int daemonCount, int groups) {
		this.cluster = cluster;
		this.groups = groups;
		List<String> addresses = List.copyOf(cluster.addresses().values());
		for (int number = 0; number < daemonCount; number++) {
			this.daemons.add(new SimulatedDaemon("entry-" + number, addresses, this.timer));
		}
	}

	/**
	 * Runs the measurements.
	 * @param arguments parent folder and fleet sizes
	 * @throws IOException if the folder cannot be created
	 */
	public static void main(String[] arguments) throws IOException {
		Path parent = Files.createDirectories(Path.of(arguments[0]));
		String[] sizes = (arguments.length > 1) ? Arrays.copyOfRange(arguments, 1, arguments.length) : SIZES;
		for (String size : sizes) {
			String[] parts = size.split(":");
			try (ControlCluster cluster = new ControlCluster(Files.createTempDirectory(parent, "capacity"))) {
				ControlCapacity capacity = new ControlCapacity(cluster, Integer.parseInt(parts[0]),
						Integer.parseInt(parts[1]));
				capacity.run();
				capacity.close();
			}
		}
		System.exit(0);
	}

	private void run() {
		print("%d daemons, %d groups", this.daemons.size(), this.groups);
		assign();
		measureSteadyState();
		measureState("state without ledger records");
		measureConfiguration();
		for (int clients : PAIR_CLIENTS) {
			measureRequestPairs(clients);
		}
		measureState("state with %d ledger records".formatted(state().ledger().size()));
		measureRestart();
		measureCrashes(1);
		measureCrashes(this.daemons.size() / 4);
	}

	private void assign() {
		long start = System.nanoTime();
		this.timer.scheduleAtFixedRate(() -> print("progress: %s", progress()), 20, 20, TimeUnit.SECONDS);
		Measure.await(() -> state().daemons().size() == this.daemons.size());
		double registered = (System.nanoTime() - start) / 1e6;
		start = System.nanoTime();
		for (int number = 0; number < this.daemons.size(); number++) {
			this.daemons.get(number).announce(members(number));
		}
		double assigned = Measure.millisecondsUntil(start, this::isConverged);
		this.daemons.forEach((daemon) -> daemon.announce(List.of()));
		print("all daemons registered after %.0f ms; members announced, owners assigned and primaries confirmed after %.0f ms",
				registered, assigned);
	}

	private List<MemberDescription> members(int daemon) {
		List<MemberDescription> members = new ArrayList<>();
		for (int group = daemon; group < this.groups; group += this.daemons.size()) {
			for (int member = 0; member < 3; member++) {
				members.add(new MemberDescription("reminders-" + group, "member-" + member,
						"10.1.9." + member + ":5432", "hanoi-" + member, 2, 20, false));
			}
		}
		return members;
	}

	private String progress() {
		ControlState state = state();
		int[] counts = new int[3];
		state.groups().forEach((name, group) -> {
			counts[0] += group.owner().isEmpty() ? 1 : 0;
			counts[1] += (group.term() == 0) ? 1 : 0;
			counts[2] += (group.members().size() < 3) ? 1 : 0;
		});
		long behind = this.daemons.stream().filter((daemon) -> daemon.version() != state.viewVersion()).count();
		return "%d daemons registered, %d groups, %d without owner, %d without primary, %d incomplete; %d daemons behind"
			.formatted(state.daemons().size(), state.groups().size(), counts[0], counts[1], counts[2], behind);
	}

	private boolean isConverged() {
		ControlState state = state();
		boolean[] converged = { state.groups().size() == this.groups };
		state.groups()
			.forEach((name, group) -> converged[0] &= group.term() > 0 && !group.owner().isEmpty()
					&& !group.releaseRequested() && group.members().size() == 3);
		return converged[0] && this.daemons.stream().allMatch((daemon) -> daemon.version() == state.viewVersion());
	}

	private void measureSteadyState() {
		Measure.pause(3_000);
		this.daemons.forEach(SimulatedDaemon::resetBytes);
		long heartbeatsBefore = heartbeats();
		long processorTimeBefore = Measure.processorTime(CONTROL_THREADS);
		long start = System.nanoTime();
		Measure.pause(STEADY_STATE_MILLISECONDS);
		double seconds = (System.nanoTime() - start) / 1e9;
		double used = Measure.processorTime(CONTROL_THREADS) - processorTimeBefore;
		long counted = heartbeats() - heartbeatsBefore;
		double sent = this.daemons.stream().mapToDouble(SimulatedDaemon::sentBytesPerHeartbeat).average().orElse(0);
		double received = this.daemons.stream()
			.mapToDouble(SimulatedDaemon::receivedBytesPerHeartbeat)
			.average()
			.orElse(0);
		double rate = counted / seconds / this.daemons.size();
		print("steady: %.0f heartbeats/s; control threads %.2f%% of a core, %.1f us per heartbeat", counted / seconds,
				used / seconds / 1e7, used / 1e3 / counted);
		print("steady: per daemon %.2f heartbeats/s, %.0f bytes/s to control, %.0f bytes/s back", rate, sent * rate,
				received * rate);
	}

	private long heartbeats() {
		return this.daemons.stream().mapToLong(SimulatedDaemon::heartbeats).sum();
	}

	private void measureState(String what) {
		ControlStateMachine machine = this.cluster.member(this.cluster.leader()).machine();
		long start = System.nanoTime();
		byte[] snapshot = machine.snapshot().get();
		double encoded = (System.nanoTime() - start) / 1e6;
		long before = Measure.usedBytes();
		start = System.nanoTime();
		ControlStateMachine copy = new ControlStateMachine();
		copy.restore(snapshot);
		double decoded = (System.nanoTime() - start) / 1e6;
		print("%s: heap %.2f MB, snapshot %.3f MB, encoded in %.0f ms, decoded in %.0f ms, %d daemons", what,
				(Measure.usedBytes() - before) / 1e6, snapshot.length / 1e6, encoded, decoded,
				copy.state().daemons().size());
	}

	private void measureConfiguration() {
		double[] times = new double[CONFIGURATION_CHANGES];
		for (int change = 0; change < times.length; change++) {
			long version = state().configuration().version();
			long start = System.nanoTime();
			ControlCluster.Member leader = this.cluster.member(this.cluster.leader());
			leader.controller()
				.submit(new SubmitCommandRequest(new ChangeConfiguration("change-" + this.keys.incrementAndGet(),
						version, null, null, null, 100 + change)))
				.join();
			long viewVersion = leader.machine().state().viewVersion();
			times[change] = Measure.millisecondsUntil(start, () -> {
				var confirmed = leader.controller().view().daemonVersions();
				return confirmed.size() >= this.daemons.size()
						&& confirmed.values().stream().allMatch((confirmedVersion) -> confirmedVersion >= viewVersion);
			});
		}
		Arrays.sort(times);
		print("configuration change confirmed by all daemons: median %.0f ms, slowest %.0f ms of %d",
				times[times.length / 2], times[times.length - 1], times.length);
	}

	private void measureRequestPairs(int clients) {
		RequestPairs pairs = new RequestPairs(System.nanoTime() + PAIR_DURATION_NANOSECONDS, clients);
		List<SimulatedDaemon> owners = this.daemons.stream().filter((daemon) -> !daemon.owned().isEmpty()).toList();
		long processorTimeBefore = Measure.processorTime(CONTROL_THREADS);
		long term = this.cluster.member(this.cluster.leader()).log().term();
		for (int client = 0; client < clients; client++) {
			runPair(owners.get(client % owners.size()), pairs);
		}
		Measure.await(() -> pairs.running.get() == 0);
		double used = Measure.processorTime(CONTROL_THREADS) - processorTimeBefore;
		long[] sorted = pairs.latencies.stream().mapToLong(Long::longValue).sorted().toArray();
		print("%d at once: %.0f pairs/s, begin p50 %.1f ms, p99 %.1f ms, control threads %.0f us per pair, failures %s, %d elections",
				clients, pairs.finished.get() * 1e9 / PAIR_DURATION_NANOSECONDS, sorted[sorted.length / 2] / 1e6,
				sorted[sorted.length * 99 / 100] / 1e6, used / 1e3 / Math.max(1, pairs.finished.get()), pairs.failures,
				this.cluster.member(this.cluster.leader()).log().term() - term);
	}

	private void runPair(SimulatedDaemon owner, RequestPairs pairs) {
		var owned = owner.owned().values().iterator();
		if (System.nanoTime() - pairs.end >= 0 || !owned.hasNext()) {
			pairs.running.decrementAndGet();
			return;
		}
		var group = owned.next();
		long attempt = this.keys.incrementAndGet();
		String key = "7b0c5a52-59e2-4c4c-9f0e-%012d".formatted(attempt);
		long start = System.nanoTime();
		submit(owner, new BeginRequest(group.group(), group.ownerEpoch(), attempt, key, "%032x".formatted(attempt), 0),
				pairs, () -> {
					pairs.latencies.add(System.nanoTime() - start);
					submit(owner, new FinishRequest(group.group(), group.ownerEpoch(), attempt, key, true,
							new byte[ANSWER_BYTES]), pairs, () -> {
								pairs.finished.incrementAndGet();
								runPair(owner, pairs);
							});
				});
	}

	// A failed pair is not retried. Its client starts another one after a delay.
	private void submit(SimulatedDaemon owner, ControlCommand command, RequestPairs pairs, Runnable next) {
		owner.client()
			.request(owner.leader(), new SubmitCommandRequest(command), System.nanoTime() + TimeUnit.SECONDS.toNanos(5))
			.whenComplete((answer, failure) -> {
				String error = (failure != null) ? failure.toString() : String.valueOf(answer);
				if (answer instanceof SubmitCommandAnswer submitted) {
					error = String
						.valueOf((submitted.result() != null) ? submitted.result().error() : submitted.error());
				}
				if (error.equals("null")) {
					next.run();
					return;
				}
				pairs.failures.merge(error.substring(0, Math.min(error.length(), 80)), 1, Integer::sum);
				this.timer.schedule(() -> runPair(owner, pairs), 100, TimeUnit.MILLISECONDS);
			});
	}

	private void measureRestart() {
		String follower = this.cluster.follower();
		this.cluster.stop(follower);
		// Wait until the threads of the stopped member have ended. The processor time of
		// threads that end during the measurement would be missing from the difference.
		Measure.pause(2_000);
		measureRequestPairs(PAIR_CLIENTS[1]);
		long target = this.cluster.member(this.cluster.leader()).log().appliedIndex();
		long start = System.nanoTime();
		this.cluster.start(follower);
		double opened = (System.nanoTime() - start) / 1e6;
		double caughtUp = Measure.millisecondsUntil(start,
				() -> this.cluster.member(follower).log().appliedIndex() >= target);
		print("restarted member: files read after %.0f ms, caught up with index %d after %.0f ms", opened, target,
				caughtUp);
	}

	private void measureCrashes(int count) {
		Measure.await(this::isConverged);
		Measure.pause(3_000);
		List<SimulatedDaemon> crashed = List.copyOf(this.daemons.subList(0, count));
		Set<String> names = crashed.stream().map(SimulatedDaemon::name).collect(Collectors.toSet());
		long orphanedGroups = crashed.stream().mapToLong((daemon) -> daemon.owned().size()).sum();
		long start = System.nanoTime();
		crashed.forEach(SimulatedDaemon::kill);
		this.daemons.removeAll(crashed);
		double assigned = Measure.millisecondsUntil(start, () -> {
			boolean[] done = { true };
			state().groups()
				.forEach((name, group) -> done[0] &= !group.owner().isEmpty() && !names.contains(group.owner()));
			return done[0];
		});
		double known = Measure.millisecondsUntil(start, this::isConverged);
		print("crash of %d daemons with %d groups: all reassigned after %.0f ms, known to all daemons after %.0f ms",
				count, orphanedGroups, assigned, known);
	}

	private ControlState state() {
		return this.cluster.member(this.cluster.leader()).machine().state();
	}

	private void close() {
		this.daemons.forEach(SimulatedDaemon::kill);
		this.timer.shutdownNow();
	}

	private static void print(String format, Object... values) {
		System.out.printf("[load %.1f] %s%n", Measure.load(), format.formatted(values));
	}

	/**
	 * State of a run in which each client executes one pair of begin and finish requests
	 * at a time.
	 */
	private static final class RequestPairs {

		private final long end;

		private final AtomicInteger running;

		private final AtomicInteger finished = new AtomicInteger();

		private final ConcurrentLinkedQueue<Long> latencies = new ConcurrentLinkedQueue<>();

		private final ConcurrentHashMap<String, Integer> failures = new ConcurrentHashMap<>();

		RequestPairs(long end, int clients) {
			this.end = end;
			this.running = new AtomicInteger(clients);
		}

	}

}
