package org.magnolialead.daemon.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import org.junit.jupiter.api.Test;
import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.FleetViewChange;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.Route;
import org.magnolialead.api.RouteTable;
import org.magnolialead.api.message.HeartbeatAnswer;
import org.magnolialead.api.message.HeartbeatRequest;
import org.magnolialead.transport.peer.PeerCodec;
import org.magnolialead.transport.peer.ViewChangePacker;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests of changes of the fleet view that are packed for slow links.
 */
class PackedChangesTests {

	private static final int ROUTES = 1_400;

	/** Bytes that a link of 2 Mbit/s carries within the timeout of a heartbeat. */
	private static final int BYTES_IN_TIME = 350 * 250;

	private final PackedChanges packedChanges = new PackedChanges();

	private final PeerCodec codec = new PeerCodec();

	private static FleetViewChange change(long version) {
		Map<String, Route> routes = new HashMap<>();
		for (int number = 0; number < ROUTES; number++) {
			String name = Integer.toString(number * 7_919 + 1_000_000, 36) + "-"
					+ Integer.toString(number * 104_729, 36);
			routes.put(name,
					new Route(name, "group-" + number % 6, FreshnessRule.SESSION, 2_500, 1, 800 + number % 50));
		}
		Map<String, Integer> limits = new HashMap<>();
		for (int number = 0; number < 6; number++) {
			limits.put("group-" + number, 46);
		}
		RouteTable table = new RouteTable(version, routes, limits, 3_000, "document".repeat(10_000));
		FleetConfiguration configuration = FleetConfiguration.initial().withRoutes(table);
		return new FleetViewChange(version - 1, version, false, configuration, List.of(), List.of(), List.of(),
				version);
	}

	private HeartbeatAnswer answer(boolean acceptsPacked, FleetViewChange change) {
		HeartbeatRequest request = new HeartbeatRequest("d", "i", "10.0.0.1:1", "z", false, 1, 1, List.of(), List.of(),
				acceptsPacked);
		HeartbeatAnswer answer = this.packedChanges.pack(request, new HeartbeatAnswer(2_500, "10.0.0.2:1", change));
		ByteBuf frame = this.codec.encode(1, answer);
		return (HeartbeatAnswer) this.codec.decode(frame.skipBytes(Integer.BYTES)).message();
	}

	/**
	 * Guards against a configuration that takes longer to arrive than the next one.
	 */
	@Test
	void largeConfigurationFitsASlowLink() {
		HeartbeatAnswer answer = answer(true, change(2));
		assertThat(answer.packedChange()).hasSizeLessThan(BYTES_IN_TIME);
		assertThat(answer.change()).isNull();
	}

	/**
	 * Guards against routes that change when they are packed.
	 */
	@Test
	void packedChangeHasTheSameRoutes() {
		FleetViewChange change = change(2);
		FleetViewChange unpacked = new ViewChangePacker().unpack(answer(true, change).packedChange());
		assertThat(unpacked).isEqualTo(change.withoutDocument());
		assertThat(unpacked.configuration().routes().routes()).isEqualTo(change.configuration().routes().routes());
	}

	/**
	 * Guards against a daemon that is given the change of another version.
	 */
	@Test
	void laterChangesArePackedAnew() {
		for (long version = 2; version < 20; version++) {
			FleetViewChange unpacked = new ViewChangePacker().unpack(answer(true, change(version)).packedChange());
			assertThat(unpacked.toVersion()).isEqualTo(version);
			assertThat(unpacked.configuration().routes().number()).isEqualTo(version);
		}
	}

	/**
	 * Guards against a daemon of an earlier build that does not understand the change.
	 */
	@Test
	void changeIsNotPackedForADaemonThatDoesNotAcceptIt() {
		FleetViewChange change = change(2);
		assertThat(answer(false, change).change()).isEqualTo(change);
	}

	/**
	 * Guards against a malformed change that ends the daemon.
	 */
	@Test
	void malformedChangeIsRefused() {
		byte[] packed = answer(true, change(2)).packedChange();
		byte[] cut = Arrays.copyOf(packed, packed.length / 2);
		assertThatIllegalArgumentException().isThrownBy(() -> new ViewChangePacker().unpack(cut));
		assertThatIllegalArgumentException().isThrownBy(() -> new ViewChangePacker().unpack(new byte[] { 1, 2, 3 }));
	}

}
