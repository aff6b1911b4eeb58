package org.magnolialead.daemon.servicelevel;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Rank;
import org.magnolialead.api.servicelevel.RequestSlot;
import org.magnolialead.api.servicelevel.ServiceLevelSnapshot;
import org.magnolialead.api.servicelevel.WriteSlot;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceLevelRecorderTests {

	private static final long START = 1_700_000_000_000L;

	private static final ServedRequest SERVED = new ServedRequest(Outcome.DONE, true, true, true);

	private long monotonic = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(30);

	private long wall = START;

	private final ServiceLevelRecorder recorder = new ServiceLevelRecorder("d1", "i1", () -> this.monotonic,
			() -> this.wall);

	/**
	 * Guards against counts of an earlier hour that reappear in the slot that reuses
	 * their place, and against slots that are discarded before the end of their
	 * retention.
	 */
	@Test
	void ringDiscardsExactlyTheExpiredSlots() {
		for (int slot = 0; slot < 1_000; slot++) {
			this.recorder.requestAnswered("p", Rank.STANDARD, SERVED);
			List<RequestSlot> kept = this.recorder.snapshot().profiles().get(0).tenSeconds();
			assertThat(kept).hasSize(Math.min(slot + 1, 360)).allMatch((counts) -> counts.requests() == 1);
			advance(10_000);
		}
		advance(TimeUnit.HOURS.toMillis(2));
		assertThat(this.recorder.snapshot().profiles().get(0).tenSeconds()).isEmpty();
		List<RequestSlot> days = this.recorder.snapshot().profiles().get(0).fiveMinutes();
		assertThat(days.stream().mapToLong(RequestSlot::requests).sum()).isEqualTo(1_000);
		advance(TimeUnit.DAYS.toMillis(3));
		assertThat(this.recorder.snapshot().profiles().get(0).fiveMinutes()).isEmpty();
	}

	/**
	 * Guards against a recorder that stops recording or fails after the wall clock was
	 * set back.
	 */
	@Test
	void recordingContinuesAfterWallClockWasSetBack() {
		this.recorder.requestAnswered("p", Rank.STANDARD, SERVED);
		this.wall -= TimeUnit.DAYS.toMillis(40);
		this.recorder.requestAnswered("p", Rank.STANDARD, SERVED);
		assertThat(this.recorder.snapshot().profiles().get(0).tenSeconds())
			.containsExactly(new RequestSlot(this.wall / 10_000, 1, 0, 0, 1, 1, 1));
	}

	/**
	 * Guards against a failover gap that is split at slot boundaries, lengthened by a
	 * clock step, or reported only after it has ended.
	 */
	@Test
	void writeGapIsRecordedInFullInEachOverlappingSlot() {
		this.recorder.writeAnswered("g", true);
		advance(25_000);
		this.recorder.writeAnswered("g", false);
		assertThat(gaps()).containsExactly(25_000L, 25_000L, 25_000L);
		advance(10_000);
		this.recorder.ownedWriteAcknowledged("g");
		assertThat(gaps()).containsExactly(35_000L, 35_000L, 35_000L, 35_000L);
		this.wall += TimeUnit.MINUTES.toMillis(1);
		this.recorder.writeAnswered("g", true);
		assertThat(gaps().get(gaps().size() - 1)).isZero();
	}

	/**
	 * Guards against memory use that grows with the number of profiles and groups, and
	 * against requests beyond the limits that are not counted at all.
	 */
	@Test
	void profilesAndGroupsAreBounded() {
		for (int index = 0; index < 100; index++) {
			this.recorder.requestAnswered("p" + index, Rank.BROWSING, SERVED);
			this.recorder.writeAnswered("used" + index, true);
			this.recorder.ownedWriteAcknowledged("owned" + index);
		}
		ServiceLevelSnapshot snapshot = this.recorder.snapshot();
		assertThat(snapshot.profiles()).hasSize(ServiceLevelRecorder.MAXIMUM_PROFILES + 1);
		assertThat(snapshot.profiles().stream().mapToLong((series) -> series.tenSeconds().get(0).requests()).sum())
			.isEqualTo(100);
		assertThat(snapshot.groups()).hasSize(ServiceLevelRecorder.MAXIMUM_GROUPS);
		assertThat(snapshot.unrecordedWrites()).isPositive();
	}

	private List<Long> gaps() {
		return this.recorder.snapshot()
			.groups()
			.get(0)
			.tenSeconds()
			.stream()
			.map(WriteSlot::longestGapMilliseconds)
			.toList();
	}

	private void advance(long milliseconds) {
		this.wall += milliseconds;
		this.monotonic += TimeUnit.MILLISECONDS.toNanos(milliseconds);
	}

}
