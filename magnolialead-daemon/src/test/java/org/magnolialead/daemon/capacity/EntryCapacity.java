package org.magnolialead.daemon.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.GroupView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.command.CommandResult;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.daemon.entry.CommandSubmitter;
import org.magnolialead.daemon.entry.EntryServices;
import org.magnolialead.daemon.filter.DaemonLease;
import org.magnolialead.daemon.owner.OwnershipController;
import org.magnolialead.daemon.settings.DaemonRole;
import org.magnolialead.daemon.settings.DaemonSettings;
import org.magnolialead.transport.member.MemberConnector;
import org.magnolialead.transport.peer.PeerClient;
import org.magnolialead.transport.peer.PeerServer;

/**
 * Measures the overhead of an entry daemon for the control link and for polling members:
 * memory of the fleet view, heartbeats of real control links to a stub server, and
 * polling of owned groups with stub members.
 */
public final class EntryCapacity {

	private static final int[][] VIEWS = { { 50, 100 }, { 200, 400 }, { 710, 1_200 } };

	private static final int[] LINKS = { 20, 60, 200 };

	private static final int[] OWNED_GROUPS = { 2, 10, 40 };

	private static final long DURATION_MILLISECONDS = 6_000;

	private static final long WARM_UP_MILLISECONDS = 4_000;

	private EntryCapacity() {
	}

	/**
	 * Runs the measurements.
	 * @param arguments none
	 */
	public static void main(String[] arguments) {
		for (int[] size : VIEWS) {
			measureView(size[0], size[1]);
		}
		for (int links : LINKS) {
			measureHeartbeats(links);
		}
		for (long waitMilliseconds : new long[] { 100, 2 }) {
			for (int groups : OWNED_GROUPS) {
				measurePolling(groups, waitMilliseconds);
			}
		}
		System.exit(0);
	}

	private static void measureView(int daemons, int groups) {
		long before = Measure.usedBytes();
		FleetView view = view(daemons, groups, (group, member) -> "10.1.9." + member + ":5432");
		print("view of %d daemons and %d groups: heap %.2f MB", view.daemons().size(), view.groups().size(),
				(Measure.usedBytes() - before) / 1e6);
	}

	private static void measureHeartbeats(int links) {
		LongAdder heartbeats = new LongAdder();
		ExecutorService workers = Executors.newFixedThreadPool(2, Measure.threads("stub"));
		PeerServer server = new PeerServer("127.0.0.1", 0, (message) -> {
			heartbeats.increment();
			return CompletableFuture.completedFuture(new HeartbeatAnswer(2_500, "", null));
		}, workers);
		List<PeerClient> clients = new ArrayList<>();
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, Measure.threads("control-link"));
		for (int link = 0; link < links; link++) {
			PeerClient client = new PeerClient(MonotonicClock.SYSTEM);
			clients.add(client);
			EntryServices services = new EntryServices(MonotonicClock.SYSTEM, client, timer);
			services.createControlLink(settings("entry-" + link, server.port()), "0123456789abcdef");
			services.start();
		}
		Measure.pause(WARM_UP_MILLISECONDS);
		long counted = heartbeats.sum();
		long processorTimeBefore = Measure.processorTime("peer-client", "control-link");
		Measure.pause(DURATION_MILLISECONDS);
		double used = Measure.processorTime("peer-client", "control-link") - processorTimeBefore;
		counted = heartbeats.sum() - counted;
		print("%d control links: %.2f heartbeats/s each, %.1f us per heartbeat", links,
				counted * 1e3 / DURATION_MILLISECONDS / links, used / 1e3 / counted);
		timer.shutdownNow();
		clients.forEach(PeerClient::close);
		server.close();
		workers.shutdownNow();
	}

	private static DaemonSettings settings(String name, int controlPort) {
		return new DaemonSettings(Path.of("none"), name, DaemonRole.ENTRY, "hanoi-1",
				new DaemonSettings.PeerSettings("10.1.2.3", 7101), Map.of("c1", "127.0.0.1:" + controlPort),
				new DaemonSettings.HttpSettings("127.0.0.1", 1, 1, 1, 1, 1, 1, 1), Optional.empty(), Optional.empty(),
				1, 1);
	}

	private static void measurePolling(int groups, long waitMilliseconds) {
		Map<String, StubMember> stubMembers = new HashMap<>();
		FleetView view = view(1, groups, (group, member) -> {
			StubMember stubMember = new StubMember("reminders-" + group, "member-" + member, member == 0,
					waitMilliseconds);
			stubMembers.put(group + "/" + member, stubMember);
			return stubMember.address();
		});
		long before = Measure.usedBytes();
		ExecutorService workers = Executors.newFixedThreadPool(4, Measure.threads("owner-worker"));
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Measure.threads("owner-timer"));
		MemberConnector connector = new MemberConnector(MonotonicClock.SYSTEM);
		DaemonLease lease = new DaemonLease(System.nanoTime());
		lease.renew(System.nanoTime() + TimeUnit.HOURS.toNanos(1));
		OwnershipController owner = new OwnershipController("entry-0", "0123456789abcdef", MonotonicClock.SYSTEM,
				workers, timer, connector, () -> view, lease, new AcceptingControl());
		owner.viewChanged(view);
		Measure.pause(WARM_UP_MILLISECONDS);
		long answerCount = StubMember.answerCount();
		long processorTimeBefore = Measure.processorTime("owner-", "member-client");
		Measure.pause(DURATION_MILLISECONDS);
		double used = Measure.processorTime("owner-", "member-client") - processorTimeBefore;
		answerCount = StubMember.answerCount() - answerCount;
		double heap = Measure.usedBytes() - before;
		print("%d owned groups, members answer after %d ms: %.1f polls/s per member, %.1f us per poll, %.3f%% of a core per group, heap %.3f MB per group with responders",
				groups, waitMilliseconds, answerCount * 1e3 / DURATION_MILLISECONDS / groups / 3,
				used / 1e3 / answerCount, used / 1e4 / DURATION_MILLISECONDS / groups, heap / 1e6 / groups);
		owner.stop();
		connector.close();
		timer.shutdownNow();
		workers.shutdownNow();
		stubMembers.values().forEach(StubMember::close);
	}

	private static FleetView view(int daemons, int groups, Address address) {
		Map<String, GroupView> groupViews = new HashMap<>();
		for (int group = 0; group < groups; group++) {
			Map<String, MemberDescription> members = new HashMap<>();
			for (int member = 0; member < 3; member++) {
				members.put("member-" + member, new MemberDescription("reminders-" + group, "member-" + member,
						address.of(group, member), "hanoi-" + member, 2, 20, false));
			}
			groupViews.put("reminders-" + group, new GroupView("reminders-" + group, group + 1, 1, "member-0", 1, "",
					"entry-" + group % daemons, 1, members));
		}
		Map<String, DaemonView> daemonViews = new HashMap<>();
		for (int daemon = 0; daemon < daemons; daemon++) {
			daemonViews.put("entry-" + daemon, new DaemonView("entry-" + daemon, groups + daemon + 1,
					"0123456789abcdef", "10.1.2.3:7101", "hanoi-" + daemon % 4, false));
		}
		return new FleetView(groups + daemons, FleetConfiguration.initial(), groupViews, daemonViews);
	}

	private static void print(String format, Object... values) {
		System.out.printf("[load %.1f] %s%n", Measure.load(), format.formatted(values));
	}

	/**
	 * Supplies the address of a member.
	 */
	@FunctionalInterface
	private interface Address {

		String of(int group, int member);

	}

	/**
	 * Accepts each command and answers no query.
	 */
	private static final class AcceptingControl implements CommandSubmitter {

		@Override
		public CompletableFuture<CommandResult> submit(ControlCommand command, long deadline) {
			return CompletableFuture.completedFuture(CommandResult.accepted(1));
		}

		@Override
		public CompletableFuture<Object> query(Object query, long deadline) {
			return new CompletableFuture<>();
		}

	}

}
