package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Rank;

/**
 * Measures policies that share the slots and connections of a group between daemons.
 */
final class SlotSharingMeasurement {

	private static final long WARM_UP_MILLISECONDS = 2_000;

	private static final long LAG_MILLISECONDS = 50;

	private final ExperimentSettings settings;

	SlotSharingMeasurement(ExperimentSettings settings) {
		this.settings = settings;
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (LoadScenario scenario : LoadScenario.values()) {
			for (SharingPolicy policy : SharingPolicy.values()) {
				rows.add(row(scenario, policy));
			}
		}
		return rows;
	}

	private ExperimentReport.Row row(LoadScenario scenario, SharingPolicy policy) {
		PhaseStatistics sum = new PhaseStatistics();
		int peakConnections = 0;
		for (GroupResult result : this.settings.forEachGroup((seed) -> measure(scenario, policy, seed))) {
			sum.add(result.statistics());
			peakConnections = Math.max(peakConnections, result.peakConnections());
		}
		return new ReportRowBuilder().value("done", sum.done())
			.percent("within deadline", sum.withinDeadlineShare())
			.percent("urgent within deadline", sum.withinDeadlineShare(Rank.URGENT))
			.value("urgent p50 ms", sum.latencyMilliseconds(Rank.URGENT, 50))
			.value("urgent p99 ms", sum.latencyMilliseconds(Rank.URGENT, 99))
			.value("connections per member", peakConnections)
			.build("Sharing of slots and connections", scenario.description(), policy);
	}

	private GroupResult measure(LoadScenario scenario, SharingPolicy policy, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, LAG_MILLISECONDS);
		scenario.prepare(simulation);
		DaemonFleet fleet = policy.create(simulation);
		simulation.serveWith(fleet::submit, fleet::recordInto);
		simulation.run(RequestClass.ORDINARY, WARM_UP_MILLISECONDS);
		if (scenario.crashedDaemon() >= 0) {
			simulation.daemonCrashed(scenario.crashedDaemon());
			fleet.crash(scenario.crashedDaemon());
		}
		PhaseStatistics statistics = simulation.run(scenario.load(), this.settings.milliseconds());
		simulation.finish();
		return new GroupResult(statistics, simulation.group().peakConnections());
	}

	private record GroupResult(PhaseStatistics statistics, int peakConnections) {
	}

	/**
	 * Policy that determines which daemons may use the slots and connections of a group.
	 */
	enum SharingPolicy {

		/** A single owner uses all slots. */
		ONE_OWNER {

			@Override
			DaemonFleet create(Simulation simulation) {
				return new SingleOwnerFleet(simulation);
			}

		},

		/** Each daemon has a fixed share. */
		STATIC_SHARES {

			@Override
			DaemonFleet create(Simulation simulation) {
				return new SlotSharingFleet(simulation, false);
			}

		},

		/** Shares are reassigned by demand at each heartbeat. */
		LEASED_SHARES {

			@Override
			DaemonFleet create(Simulation simulation) {
				return new SlotSharingFleet(simulation, true);
			}

		};

		abstract DaemonFleet create(Simulation simulation);

	}

	/** Distribution of the load over the daemons, and the daemon that crashes, if any. */
	enum LoadScenario {

		/** All daemons receive the same load. */
		EVEN("even load", -1),

		/** Two daemons receive 90% of the load. */
		SKEWED("90% of the load at 2 daemons", -1) {

			@Override
			void prepare(Simulation simulation) {
				simulation.skewLoad(2, 0.9);
			}

		},

		/** The two daemons that receive 90% of the load change every 500 ms. */
		MOVING_SKEW("90% at 2 daemons, moving", -1) {

			@Override
			void prepare(Simulation simulation) {
				simulation.skewLoad(2, 0.9);
				simulation.rotateHotDaemons(500 * VirtualClock.NANOSECONDS_PER_MILLISECOND);
			}

		},

		/** Ten times the browsing requests; two daemons receive 90% of the load. */
		SKEWED_OVERLOAD("browsing flood, 90% at 2 daemons", -1) {

			@Override
			void prepare(Simulation simulation) {
				simulation.skewLoad(2, 0.9);
			}

			@Override
			List<RequestClass> load() {
				return RequestClass.tenfold(Rank.BROWSING);
			}

		},

		/** A daemon other than the owner crashes at the start of the measured time. */
		DAEMON_CRASH("a daemon dies", Deployment.DAEMONS - 1),

		/**
		 * The owner, or any daemon with a share, crashes at the start of the measured
		 * time.
		 */
		OWNER_CRASH("the owning daemon dies", SingleOwnerFleet.INITIAL_OWNER);

		private final String description;

		private final int crashedDaemon;

		LoadScenario(String description, int crashedDaemon) {
			this.description = description;
			this.crashedDaemon = crashedDaemon;
		}

		String description() {
			return this.description;
		}

		int crashedDaemon() {
			return this.crashedDaemon;
		}

		List<RequestClass> load() {
			return RequestClass.ORDINARY;
		}

		void prepare(Simulation simulation) {
			// The load is evenly distributed by default.
		}

	}

}
