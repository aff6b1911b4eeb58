package org.magnolialead.engine.session;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.FreshnessRule;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Route;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReadPlan}. Guard against reads that miss a commit which they must see.
 */
class ReadPlanTests {

	private static final long MILLISECOND = 1_000_000L;

	private final PrimaryProgress progress = new PrimaryProgress();

	private static Route route(FreshnessRule freshness, long age) {
		return new Route("database", "group", freshness, age, 1, 800);
	}

	@Test
	void latestIsReadAtThePrimary() {
		this.progress.recordPosition(0, new LogPosition(1, 5));
		assertThat(ReadPlan.of(route(FreshnessRule.LATEST, 0), LogPosition.NONE, this.progress, 1))
			.isEqualTo(ReadPlan.PRIMARY);
	}

	@Test
	void replicaNeedsThePositionOfTheOldestSampleThatIsRecentEnough() {
		this.progress.recordPosition(0, new LogPosition(1, 5));
		this.progress.recordPosition(500 * MILLISECOND, new LogPosition(1, 8));
		this.progress.recordPosition(900 * MILLISECOND, new LogPosition(1, 9));
		ReadPlan plan = ReadPlan.of(route(FreshnessRule.MAXIMUM_AGE, 1_000), LogPosition.NONE, this.progress,
				1_200 * MILLISECOND);
		assertThat(plan).isEqualTo(new ReadPlan(true, new LogPosition(1, 8)));
	}

	@Test
	void withoutARecentSampleThePrimaryIsRead() {
		this.progress.recordPosition(0, new LogPosition(1, 5));
		assertThat(ReadPlan.of(route(FreshnessRule.MAXIMUM_AGE, 1_000), LogPosition.NONE, this.progress,
				1_000 * MILLISECOND))
			.isEqualTo(ReadPlan.PRIMARY);
	}

	@Test
	void sessionSeesItsOwnCommit() {
		this.progress.recordPosition(0, new LogPosition(1, 5));
		ReadPlan plan = ReadPlan.of(route(FreshnessRule.SESSION, 1_000), new LogPosition(1, 7), this.progress,
				100 * MILLISECOND);
		assertThat(plan).isEqualTo(new ReadPlan(true, new LogPosition(1, 7)));
	}

	@Test
	void positionThatAPromotionMayHaveRolledBackIsNotWaitedFor() {
		this.progress.recordPosition(0, new LogPosition(2, 6));
		ReadPlan plan = ReadPlan.of(route(FreshnessRule.SESSION, 1_000), new LogPosition(1, 7), this.progress,
				100 * MILLISECOND);
		assertThat(plan).isEqualTo(ReadPlan.PRIMARY);
	}

	@Test
	void samplesCloseTogetherDoNotHideALaterCommit() {
		this.progress.recordPosition(0, new LogPosition(1, 5));
		this.progress.recordPosition(MILLISECOND, new LogPosition(1, 6));
		ReadPlan plan = ReadPlan.of(route(FreshnessRule.MAXIMUM_AGE, 1_000), LogPosition.NONE, this.progress,
				900 * MILLISECOND + MILLISECOND);
		assertThat(plan).isEqualTo(ReadPlan.PRIMARY);
	}

	@Test
	void positionOfNewPrimaryReplacesRolledBackPosition() {
		this.progress.recordPosition(0, new LogPosition(2, 9));
		this.progress.recordNewPrimary(10 * MILLISECOND, new LogPosition(1, 7));
		ReadPlan plan = ReadPlan.of(route(FreshnessRule.MAXIMUM_AGE, 1_000), LogPosition.NONE, this.progress,
				100 * MILLISECOND);
		assertThat(plan).isEqualTo(new ReadPlan(true, new LogPosition(1, 7)));
	}

	@Test
	void clearedSamplesAreNotUsed() {
		this.progress.recordPosition(0, new LogPosition(1, 5));
		this.progress.clear();
		assertThat(ReadPlan.of(route(FreshnessRule.MAXIMUM_AGE, 1_000), LogPosition.NONE, this.progress, 1))
			.isEqualTo(ReadPlan.PRIMARY);
	}

}
