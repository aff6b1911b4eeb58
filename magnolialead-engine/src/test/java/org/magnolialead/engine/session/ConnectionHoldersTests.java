package org.magnolialead.engine.session;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.DaemonView;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the assignment of connections to daemons, for fleets of every size.
 */
class ConnectionHoldersTests {

	private static final int LIMIT = 46;

	private static final int ZONES = 6;

	private static final String GROUP = "group-1";

	private static List<DaemonView> fleet(int size) {
		List<DaemonView> daemons = new ArrayList<>();
		for (int number = 0; number < size; number++) {
			daemons.add(daemon(number, "incarnation", false));
		}
		return daemons;
	}

	private static DaemonView daemon(int number, String incarnation, boolean draining) {
		return new DaemonView("daemon-" + number, 1, incarnation, "10.0.0." + number + ":7440", zone(number), draining);
	}

	private static String zone(int number) {
		return "zone-" + number % ZONES;
	}

	private static int permanentConnections(ConnectionHolders holders, List<DaemonView> daemons, int limit) {
		return daemons.stream()
			.mapToInt((daemon) -> holders.share(GROUP, limit, daemon.daemon(), daemon.availabilityZone(), false)
				.permanent())
			.sum();
	}

	/**
	 * Guards against a fleet that exceeds the connection limit of a member, or that
	 * leaves daemons of a zone without a daemon that serves them, at any size.
	 */
	@Test
	void permanentConnectionsStayWithinTheLimitAtEverySize() {
		for (int limit : new int[] { 18, 36, 46, 70 }) {
			for (int size = 1; size <= 710; size++) {
				List<DaemonView> daemons = fleet(size);
				ConnectionHolders holders = new ConnectionHolders(daemons);
				assertThat(permanentConnections(holders, daemons, limit)).as("limit %d, %d daemons", limit, size)
					.isBetween(1, limit * 80 / 100);
				if (holders.areNeeded(limit)) {
					assertThat(holders.holders(GROUP, limit)).hasSizeGreaterThanOrEqualTo(ZONES);
				}
			}
		}
	}

	@Test
	void smallFleetKeepsOneConnectionEach() {
		List<DaemonView> daemons = fleet(12);
		ConnectionHolders holders = new ConnectionHolders(daemons);
		assertThat(holders.areNeeded(18)).isFalse();
		assertThat(holders.candidates(GROUP, 18, zone(0), "daemon-0")).isEmpty();
		assertThat(holders.share(GROUP, 18, "daemon-0", zone(0), false).permanent()).isOne();
		assertThat(holders.holders(GROUP, 18)).hasSize(12);
	}

	/**
	 * Guards against statements that cross availability zones twice.
	 */
	@Test
	void statementsAreForwardedWithinTheZone() {
		ConnectionHolders holders = new ConnectionHolders(fleet(100));
		for (int number = 0; number < 100; number++) {
			assertThat(holders.candidates(GROUP, LIMIT, zone(number), "daemon-" + number)).isNotEmpty()
				.extracting(DaemonView::availabilityZone)
				.containsOnly(zone(number));
		}
	}

	/**
	 * Guards against a group that changes its holders whenever some other daemon joins or
	 * leaves, which would open all its connections again.
	 */
	@Test
	void joiningDaemonsMoveFewGroups() {
		ConnectionHolders before = new ConnectionHolders(fleet(100));
		ConnectionHolders after = new ConnectionHolders(fleet(110));
		int moved = 0;
		for (int number = 0; number < 200; number++) {
			Set<DaemonView> kept = new HashSet<>(before.holders("group-" + number, LIMIT));
			kept.retainAll(after.holders("group-" + number, LIMIT));
			moved += ZONES - kept.size();
		}
		assertThat(moved).isLessThan(200 * ZONES / 5);
	}

	/**
	 * Guards against groups that share few daemons, which would make these a bottleneck.
	 */
	@Test
	void groupsAreSpreadOverTheDaemons() {
		ConnectionHolders holders = new ConnectionHolders(fleet(100));
		int[] groups = new int[100];
		for (int number = 0; number < 200; number++) {
			holders.holders("group-" + number, LIMIT)
				.forEach((holder) -> groups[Integer.parseInt(holder.daemon().substring("daemon-".length()))]++);
		}
		assertThat(Arrays.stream(groups).boxed()).allSatisfy((count) -> assertThat(count).isBetween(1, 40));
	}

	/**
	 * Guards against accounts whose statements reach all holders of a zone, each of which
	 * would open connections for all accounts.
	 */
	@Test
	void allDaemonsOfAZonePreferOneHolderForAnAccount() {
		ConnectionHolders holders = new ConnectionHolders(fleet(100));
		Set<DaemonView> preferred = new HashSet<>();
		for (int account = 0; account < 73; account++) {
			Set<List<DaemonView>> candidates = new HashSet<>();
			for (int number = 0; number < 100; number++) {
				if (zone(number).equals(zone(0))) {
					candidates.add(holders.candidates(GROUP, 100, zone(0), "daemon-" + number, "account-" + account));
				}
			}
			assertThat(candidates).hasSize(1);
			preferred.add(candidates.iterator().next().get(0));
		}
		assertThat(preferred).hasSize(2).allMatch((holder) -> holder.availabilityZone().equals(zone(0)));
	}

	@Test
	void drainingDaemonIsReplaced() {
		List<DaemonView> daemons = fleet(100);
		DaemonView first = new ConnectionHolders(daemons).candidates(GROUP, LIMIT, zone(0), "other").get(0);
		int number = daemons.indexOf(first);
		daemons.set(number, daemon(number, "incarnation", true));
		assertThat(new ConnectionHolders(daemons).candidates(GROUP, LIMIT, zone(0), "other"))
			.extracting(DaemonView::daemon)
			.doesNotContain(first.daemon());
	}

	/**
	 * Guards against an owner without connections, which cannot ask the replicas for
	 * their positions and so replaces neither a failed nor a leaving primary.
	 */
	@Test
	void ownerKeepsConnectionsAlthoughItForwards() {
		ConnectionHolders holders = new ConnectionHolders(fleet(100));
		List<DaemonView> candidates = holders.candidates(GROUP, LIMIT, zone(0), "other");
		DaemonView forwarding = fleet(100).stream()
			.filter((daemon) -> daemon.availabilityZone().equals(zone(0)) && !candidates.contains(daemon))
			.findFirst()
			.orElseThrow();
		assertThat(holders.share(GROUP, LIMIT, forwarding.daemon(), zone(0), false).permanent()).isZero();
		assertThat(holders.share(GROUP, LIMIT, forwarding.daemon(), zone(0), true).permanent()).isOne();
	}

	/**
	 * Guards against repeated attempts to reach a daemon that has failed, and against
	 * avoiding its restarted process.
	 */
	@Test
	void failedDaemonIsAvoidedUntilItRestarts() {
		PeerAvailability availability = new PeerAvailability();
		List<DaemonView> candidates = List.of(daemon(1, "first", false), daemon(2, "first", false));
		assertThat(availability.failed(candidates.get(0), 0)).isTrue();
		assertThat(availability.failed(candidates.get(0), 1)).isFalse();
		assertThat(availability.select(candidates, 1)).contains(candidates.get(1));
		List<DaemonView> restarted = List.of(daemon(1, "second", false), daemon(2, "first", false));
		assertThat(availability.select(restarted, 1)).contains(restarted.get(0));
		assertThat(availability.select(candidates, PeerAvailability.FIRST_PAUSE_NANOSECONDS))
			.contains(candidates.get(0));
	}

	/**
	 * Guards against a restarted fleet whose daemons avoid each other for long because
	 * one of them received the fleet view a moment later.
	 */
	@Test
	void daemonThatIsNotReadyIsTriedAgainSoon() {
		PeerAvailability availability = new PeerAvailability();
		List<DaemonView> only = List.of(daemon(1, "first", false));
		availability.notReady(only.get(0), 0);
		assertThat(availability.select(only, 1)).isEmpty();
		assertThat(availability.select(only, PeerAvailability.NOT_READY_PAUSE_NANOSECONDS)).contains(only.get(0));
	}

	@Test
	void everyCandidateMayBeAvoided() {
		PeerAvailability availability = new PeerAvailability();
		DaemonView only = daemon(1, "first", false);
		availability.failed(only, 0);
		assertThat(availability.select(List.of(only), 1)).isEmpty();
		assertThat(availability.answered(only)).isTrue();
		assertThat(availability.answered(only)).isFalse();
		assertThat(availability.select(List.of(only), 1)).contains(only);
	}

}
