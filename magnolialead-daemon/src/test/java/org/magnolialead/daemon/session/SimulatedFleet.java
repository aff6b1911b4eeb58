package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.magnolialead.api.AccountTable;
import org.magnolialead.api.DaemonView;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.engine.session.ConnectionHolders;
import org.magnolialead.engine.session.ConnectionRole;

/**
 * Simulated fleet with more daemons than connections per member, in which most daemons
 * forward statements to the holders of the connections.
 */
final class SimulatedFleet {

	/** Maximum number of connections to a member from all daemons together. */
	static final int CONNECTION_LIMIT = 18;

	private static final int DAEMONS = 40;

	private static final String ZONE = "zone";

	/** Time after which the holders have opened their connections. */
	private static final long START_MILLISECONDS = 1_500;

	private final ManualLoop loop = new ManualLoop();

	private final FakeGroup group = new FakeGroup(this.loop, "a", "b", "c");

	private final SimulatedPeers peers = new SimulatedPeers(this.loop);

	private final Map<String, SessionService> services = new HashMap<>();

	private final List<DaemonView> candidates = new ArrayList<>();

	private final SessionService forwarding;

	private final AccountTable accounts;

	SimulatedFleet() {
		this(null);
	}

	/**
	 * Creates a fleet.
	 * @param accounts the client accounts, or {@code null} if clients need no key
	 */
	SimulatedFleet(AccountTable accounts) {
		this.accounts = accounts;
		Map<String, DaemonView> daemons = new HashMap<>();
		for (int number = 0; number < DAEMONS; number++) {
			String name = "daemon-" + number;
			daemons.put(name, new DaemonView(name, 1, name, address(name), ZONE, false));
			SessionService service = new SessionService(name, ZONE, this.loop, this.loop, this.loop::milliseconds,
					this.group, this.peers.link(name));
			this.services.put(name, service);
			this.peers.add(address(name), service);
		}
		FleetView view = view(daemons);
		this.services.values().forEach(SessionService::start);
		this.services.values().forEach((service) -> service.viewChanged(view));
		ConnectionHolders holders = new ConnectionHolders(daemons.values());
		String forwardingDaemon = daemons.keySet()
			.stream()
			.filter((name) -> holders.share(FakeGroup.NAME, CONNECTION_LIMIT, name, ZONE, false)
				.role() == ConnectionRole.FORWARDING)
			.min(Comparator.naturalOrder())
			.orElseThrow();
		this.forwarding = this.services.get(forwardingDaemon);
		this.candidates.addAll(holders.candidates(FakeGroup.NAME, CONNECTION_LIMIT, ZONE, forwardingDaemon));
		this.loop.advance(START_MILLISECONDS);
	}

	private static String address(String daemon) {
		return daemon + ":1";
	}

	private FleetView view(Map<String, DaemonView> daemons) {
		Map<String, Route> routes = Map.of("primary",
				new Route("primary", FakeGroup.NAME, FreshnessRule.LATEST, 0, 0, 800), "session",
				new Route("session", FakeGroup.NAME, FreshnessRule.SESSION, 2_500, 1, 800));
		RouteTable table = new RouteTable(1, routes, Map.of(FakeGroup.NAME, CONNECTION_LIMIT), Map.of(), 3_000,
				this.accounts, "");
		FleetConfiguration initial = FleetConfiguration.initial();
		FleetConfiguration configuration = new FleetConfiguration(1, initial.profiles(), initial.rankFloors(),
				initial.queueLimit(), table);
		return new FleetView(1, configuration, Map.of(FakeGroup.NAME, this.group.view("", 0, "a")), daemons);
	}

	ManualLoop loop() {
		return this.loop;
	}

	FakeGroup group() {
		return this.group;
	}

	SimulatedPeers peers() {
		return this.peers;
	}

	Map<String, SessionService> services() {
		return this.services;
	}

	/**
	 * Returns the daemons to which {@link #forwarding()} forwards, the first one first.
	 * @return the daemons
	 */
	List<DaemonView> candidates() {
		return this.candidates;
	}

	/**
	 * Returns a daemon that forwards the statements of its clients.
	 * @return the daemon
	 */
	SessionService forwarding() {
		return this.forwarding;
	}

	/**
	 * Returns the daemon that executes the statements of {@link #forwarding()}.
	 * @return the daemon
	 */
	SessionService holder() {
		return this.services.get(this.candidates.get(0).daemon());
	}

	/**
	 * Returns the peer address of the daemon that executes the statements of
	 * {@link #forwarding()}.
	 * @return the address
	 */
	String holderAddress() {
		return this.candidates.get(0).peerAddress();
	}

}
