package org.magnolialead.daemon.control;

import java.util.List;

import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.FleetView;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.command.ControlCommand;
import org.magnolialead.api.command.ControlCommand.AnnounceMember;
import org.magnolialead.api.command.ControlCommand.AssignOwner;
import org.magnolialead.api.command.ControlCommand.ChangeConfiguration;
import org.magnolialead.api.command.ControlCommand.ConfirmPrimary;
import org.magnolialead.api.command.ControlCommand.ForgetDaemon;
import org.magnolialead.api.command.ControlCommand.RegisterDaemon;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.transport.peer.PeerCodec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the transfer of a fleet view that exceeds the frame limit. If it failed, a
 * starting daemon could not receive a lease.
 */
class FullViewTests {

	private static final int DAEMONS = 710;

	private static final int GROUPS = 1_200;

	private static final int NAME_LENGTH = 64;

	private final ControlStateMachine machine = new ControlStateMachine();

	private final PeerCodec codec = new PeerCodec();

	private FleetView view = FleetView.EMPTY;

	private long removalsVersion;

	/**
	 * Guards against a part that exceeds the frame limit, parts that do not add up to the
	 * view, a lease before the last part, and a transfer that restarts forever because
	 * old removals are no longer retained.
	 */
	@Test
	void completeViewWithLongNamesArrivesInPartsBeforeTheLease() {
		fill();
		ManualCommandLog log = new ManualCommandLog(this.machine);
		log.becomeLeader(0);
		try (ControlController controller = new ControlController(ControlSettings.defaults("c1"), log, this.machine,
				() -> 0, () -> 1)) {
			HeartbeatAnswer answer = sendHeartbeat(controller);
			int parts = 1;
			while (answer.change().partial()) {
				assertThat(answer.leaseMilliseconds()).isZero();
				assertThat(parts).isLessThan(10);
				answer = sendHeartbeat(controller);
				parts++;
			}
			assertThat(parts).isGreaterThan(1);
			assertThat(answer.leaseMilliseconds()).isPositive();
			assertThat(this.view).isEqualTo(this.machine.state().view());
		}
	}

	private HeartbeatAnswer sendHeartbeat(ControlController controller) {
		HeartbeatRequest request = new HeartbeatRequest(name("entry", 0), name("incarnation", 0), "10.1.2.3:7101",
				name("zone", 0), false, this.view.version(), this.removalsVersion, List.of(), List.of());
		ByteBuf frame = this.codec.encode(1, controller.heartbeat(request).join());
		System.out.printf("heartbeat answer with a part of the view: %d bytes%n", frame.readableBytes());
		assertThat(frame.readableBytes()).isLessThanOrEqualTo(PeerCodec.MAXIMUM_FRAME_BYTES);
		HeartbeatAnswer answer = (HeartbeatAnswer) this.codec.decode(frame.skipBytes(Integer.BYTES)).message();
		this.view = this.view.with(answer.change());
		assertThat(this.view.configuration()).isEqualTo(this.machine.state().configuration());
		this.removalsVersion = answer.change().latestVersion();
		return answer;
	}

	private void fill() {
		for (int number = 0; number < DAEMONS; number++) {
			register(number);
		}
		for (int number = 0; number < GROUPS; number++) {
			String group = name("group", number);
			for (int member = 0; member < 3; member++) {
				apply(new AnnounceMember(new MemberDescription(group, name("member", member), "192.168.100.100:15432",
						name("zone", member), 2, 20, false)));
			}
			apply(new AssignOwner(group, name("entry", number % DAEMONS), 0));
			apply(new ConfirmPrimary(group, 1, 1, name("member", 0)));
		}
		apply(new ChangeConfiguration("change", 0, null, null, null, 7));
		// More removals than are retained.
		for (int number = DAEMONS; number < DAEMONS + 2_000; number++) {
			register(number);
			apply(new ForgetDaemon(name("entry", number), name("incarnation", number)));
		}
	}

	private void register(int number) {
		apply(new RegisterDaemon(name("entry", number), name("incarnation", number), "192.168.100.100:17101",
				name("zone", number % 4), false));
	}

	private void apply(ControlCommand command) {
		assertThat(this.machine.apply(command).isAccepted()).isTrue();
	}

	private static String name(String prefix, int number) {
		return (prefix + "-" + number + "-").concat("x".repeat(NAME_LENGTH)).substring(0, NAME_LENGTH);
	}

}
