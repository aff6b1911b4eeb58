package org.magnolialead.daemon.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntConsumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.BeginRequest;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.FinishRequest;
import org.magnolialead.api.command.ControlCommand.ForgetRequests;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.api.message.OwnedGroupReport;
import org.magnolialead.engine.control.ControlState;
import org.magnolialead.transport.peer.PeerCodec;

/**
 * Measures processing time, message sizes and memory use of the control state on one
 * thread. Prints the median and the slowest of several rounds.
 */
public final class ControlMeasurement {

	private static final int ROUNDS = 9;

	private static final int[][] SIZES = { { 10, 10 }, { 100, 100 }, { 710, 1_200 } };

	private static final int[] LEDGERS = { 10_000, 100_000, 1_000_000 };

	private static final int MINUTES_OF_RETENTION = 1_440;

	private static final long MINUTE_MILLISECONDS = 60_000;

	private static final int ANSWER_LENGTH = 200;

	private static final ObjectMapper MAPPER = PeerCodec.createMapper();

	private ControlMeasurement() {
	}

	/**
	 * Runs all measurements.
	 * @param arguments none
	 * @throws IOException if a message cannot be encoded
	 */
	public static void main(String[] arguments) throws IOException {
		for (int[] size : SIZES) {
			measure(size[0], size[1]);
		}
		measureMemory();
	}

	private static void measure(int daemons, int groups) throws IOException {
		System.out.printf("-- %d daemons, %d groups, 100000 ledger entries%n", daemons, groups);
		ControlStateMachine machine = new ControlStateMachine();
		fill(machine, daemons, groups);
		fillLedger(machine, groups, 100_000);
		time("apply BeginRequest and FinishRequest", 2_000, (index) -> {
			String group = "reminders-" + index % groups;
			machine.apply(new BeginRequest(group, 1, 1, "timed-key", "digest", 1));
			machine.apply(new FinishRequest(group, 1, 1, "timed-key", false, null));
		});
		time("apply AnnounceMember that changes", 2_000,
				(index) -> machine.apply(new AnnounceMember(member(index % groups, 0, index % 2 == 0))));
		ManualCommandLog log = new ManualCommandLog(machine);
		log.becomeLeader(System.nanoTime());
		try (ControlController controller = new ControlController(ControlSettings.defaults("c1"), log, machine,
				MonotonicClock.SYSTEM, WallClock.SYSTEM)) {
			List<OwnedGroupReport> reports = reports(daemons, groups);
			long version = machine.state().viewVersion();
			time("heartbeat without change", 2_000,
					(index) -> controller.heartbeat(request(index % daemons, version, List.of())).join());
			time("heartbeat with one changed group", 500,
					(index) -> controller.heartbeat(request(index % daemons, version - 1, reports)).join());
			time("heartbeat with complete view", 100,
					(index) -> controller.heartbeat(request(index % daemons, 0, reports)).join());
			time("tick", 20, (index) -> controller.tick());
			printBytes("heartbeat", request(1, version, reports));
			printBytes("answer without change", controller.heartbeat(request(1, version, reports)).join());
			printBytes("answer with one changed group", controller.heartbeat(request(1, version - 1, reports)).join());
			printBytes("answer with complete view", controller.heartbeat(request(1, 0, reports)).join());
		}
	}

	private static void measureMemory() {
		System.out.println("-- memory at 710 daemons, 1200 groups");
		long before = usedBytes();
		ControlStateMachine machine = new ControlStateMachine();
		fill(machine, 710, 1_200);
		System.out.printf("state without ledger: %.2f MB%n", (usedBytes() - before) / 1e6);
		int filled = 0;
		for (int size : LEDGERS) {
			fillLedger(machine, 1_200, filled, size);
			filled = size;
			System.out.printf("state with %d ledger entries of %d byte answers: %.1f MB%n", size, ANSWER_LENGTH,
					(usedBytes() - before) / 1e6);
			ControlState state = machine.state();
			time("apply ForgetRequests for one of 1440 minutes", 1,
					(index) -> state.apply(new ForgetRequests(MINUTE_MILLISECONDS + 1)));
			time("apply ForgetRequests that forgets all", 1,
					(index) -> state.apply(new ForgetRequests(Long.MAX_VALUE)));
			int[] length = new int[1];
			time("encode snapshot", 1, (index) -> length[0] = machine.snapshot().get().length);
			System.out.printf("snapshot: %.1f MB%n", length[0] / 1e6);
		}
	}

	private static void fill(ControlStateMachine machine, int daemons, int groups) {
		for (int number = 0; number < daemons; number++) {
			machine.apply(new RegisterDaemon("entry-" + number, "incarnation-" + number, "10.1.2.3:7101",
					"hanoi-" + number % 4, false));
		}
		for (int number = 0; number < groups; number++) {
			String group = "reminders-" + number;
			for (int member = 0; member < 3; member++) {
				machine.apply(new AnnounceMember(member(number, member, false)));
			}
			accept(machine, new AssignOwner(group, "entry-" + number % daemons, 0));
			accept(machine, new ConfirmPrimary(group, 1, 1, "member-0"));
		}
	}

	private static void fillLedger(ControlStateMachine machine, int groups, int size) {
		fillLedger(machine, groups, 0, size);
	}

	private static void fillLedger(ControlStateMachine machine, int groups, int from, int size) {
		for (int number = from; number < size; number++) {
			String group = "reminders-" + number % groups;
			long deadline = MINUTE_MILLISECONDS * (1 + number % MINUTES_OF_RETENTION);
			String key = "7b0c5a52-59e2-4c4c-9f0e-%012d".formatted(number);
			accept(machine, new BeginRequest(group, 1, 1, key, "%064x".formatted(number), deadline));
			accept(machine, new FinishRequest(group, 1, 1, key, true, new byte[ANSWER_LENGTH]));
		}
	}

	private static void accept(ControlStateMachine machine, ControlCommand command) {
		if (!machine.apply(command).isAccepted()) {
			throw new IllegalStateException("rejected command: " + command);
		}
	}

	private static MemberDescription member(int group, int member, boolean leaving) {
		return new MemberDescription("reminders-" + group, "member-" + member, "10.1.9." + member + ":5432",
				"hanoi-" + member, 2, 20, leaving);
	}

	private static HeartbeatRequest request(int daemon, long version, List<OwnedGroupReport> reports) {
		return new HeartbeatRequest("entry-" + daemon, "incarnation-" + daemon, "10.1.2.3:7101", "hanoi-" + daemon % 4,
				false, version, version, reports, List.of());
	}

	private static List<OwnedGroupReport> reports(int daemons, int groups) {
		List<OwnedGroupReport> reports = new ArrayList<>();
		for (int number = 1; number < groups; number += daemons) {
			reports.add(new OwnedGroupReport("reminders-" + number, 1, false, 3));
		}
		return reports;
	}

	private static void printBytes(String what, Object message) throws IOException {
		System.out.printf("%s: %d bytes%n", what, MAPPER.writeValueAsBytes(message).length);
	}

	private static void time(String what, int repetitions, IntConsumer action) {
		double[] microseconds = new double[ROUNDS];
		for (int round = -ROUNDS; round < ROUNDS; round++) {
			long start = System.nanoTime();
			for (int index = 0; index < repetitions; index++) {
				action.accept(index);
			}
			// The first rounds only warm up.
			if (round >= 0) {
				microseconds[round] = (System.nanoTime() - start) / 1e3 / repetitions;
			}
		}
		Arrays.sort(microseconds);
		System.out.printf("%s: median %.2f us, slowest round %.2f us%n", what, microseconds[ROUNDS / 2],
				microseconds[ROUNDS - 1]);
	}

	private static long usedBytes() {
		for (int round = 0; round < 3; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
