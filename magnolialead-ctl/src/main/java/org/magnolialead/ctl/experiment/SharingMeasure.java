package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Rank;

/**
 * Sharing of a group's slots and connections between daemons.
 */
final class SharingMeasure {

	private static final long WARM_UP_MILLISECONDS = 2_000;

	private static final long LAG_MILLISECONDS = 50;

	private final ExperimentSettings settings;

	SharingMeasure(ExperimentSettings settings) {
		this.settings = settings;
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (Situation situation : Situation.values()) {
			for (Sharing sharing : Sharing.values()) {
				rows.add(row(situation, sharing));
			}
		}
		return rows;
	}

	private ExperimentReport.Row row(Situation situation, Sharing sharing) {
		Tally sum = new Tally();
		int connections = 0;
		for (GroupResult result : this.settings.forEachGroup((seed) -> measure(situation, sharing, seed))) {
			sum.add(result.tally());
			connections = Math.max(connections, result.connections());
		}
		return new Figures().value("done", sum.done())
			.percent("within deadline", sum.service())
			.percent("urgent within deadline", sum.service(Rank.URGENT))
			.value("urgent p50 ms", sum.latencyMilliseconds(Rank.URGENT, 50))
			.value("urgent p99 ms", sum.latencyMilliseconds(Rank.URGENT, 99))
			.value("connections per member", connections)
			.row("Sharing of slots and connections", situation.text(), sharing);
	}

	private GroupResult measure(Situation situation, Sharing sharing, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, LAG_MILLISECONDS);
		situation.prepare(simulation);
		DaemonFleet fleet = sharing.create(simulation);
		simulation.target(fleet::submit, fleet::tally);
		simulation.run(RequestClass.ORDINARY, WARM_UP_MILLISECONDS);
		if (situation.dyingDaemon() >= 0) {
			simulation.daemonDied(situation.dyingDaemon());
			fleet.crash(situation.dyingDaemon());
		}
		Tally tally = simulation.run(situation.load(), this.settings.milliseconds());
		simulation.finish();
		return new GroupResult(tally, simulation.group().greatestConnections());
	}

	private record GroupResult(Tally tally, int connections) {
	}

	/** Who may use the slots and connections of a group. */
	enum Sharing {

		/** One owning daemon. */
		ONE_OWNER {

			@Override
			DaemonFleet create(Simulation simulation) {
				return new OwnerFleet(simulation);
			}

		},

		/** Each daemon has a fixed share. */
		STATIC_SHARES {

			@Override
			DaemonFleet create(Simulation simulation) {
				return new SharesFleet(simulation, false);
			}

		},

		/** Shares move by need once per heartbeat. */
		LEASED_SHARES {

			@Override
			DaemonFleet create(Simulation simulation) {
				return new SharesFleet(simulation, true);
			}

		};

		abstract DaemonFleet create(Simulation simulation);

	}

	/** How the load arrives. */
	enum Situation {

		/** All daemons receive the same load. */
		EVEN("even load", -1),

		/** Two daemons receive nine tenths of the load. */
		SKEWED("90% of the load at 2 daemons", -1) {

			@Override
			void prepare(Simulation simulation) {
				simulation.skew(2, 0.9);
			}

		},

		/** The two daemons that receive nine tenths of the load change every 500 ms. */
		MOVING("90% at 2 daemons, moving", -1) {

			@Override
			void prepare(Simulation simulation) {
				simulation.skew(2, 0.9);
				simulation.moveSkewEvery(500 * VirtualTime.MILLISECOND);
			}

		},

		/** Ten times the browsing requests, most of them at two daemons. */
		FLOOD("browsing flood, 90% at 2 daemons", -1) {

			@Override
			void prepare(Simulation simulation) {
				simulation.skew(2, 0.9);
			}

			@Override
			List<RequestClass> load() {
				return RequestClass.tenfold(Rank.BROWSING);
			}

		},

		/** A daemon that owns nothing dies at the start of the measured time. */
		DAEMON_DIES("a daemon dies", Deployment.DAEMONS - 1),

		/** The owning daemon, or any other daemon with a share, dies. */
		OWNER_DIES("the owning daemon dies", OwnerFleet.OWNER);

		private final String text;

		private final int dyingDaemon;

		Situation(String text, int dyingDaemon) {
			this.text = text;
			this.dyingDaemon = dyingDaemon;
		}

		String text() {
			return this.text;
		}

		int dyingDaemon() {
			return this.dyingDaemon;
		}

		List<RequestClass> load() {
			return RequestClass.ORDINARY;
		}

		void prepare(Simulation simulation) {
			// The load is even.
		}

	}

}
