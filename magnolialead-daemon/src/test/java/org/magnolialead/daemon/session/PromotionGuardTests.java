package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the conditions under which the owner of a group must not act: each fails if
 * its condition is left out.
 */
class PromotionGuardTests {

	/**
	 * Tests of the release of a leaving primary. Member c is promoted in the place of a
	 * crashed primary and leaves.
	 */
	@Nested
	class Handovers {

		/**
		 * Guards against a leaving primary that is demoted for its successor while an
		 * order for it has no answer. Executed late, the order promotes it again, and
		 * what it acknowledges then is lost.
		 */
		@Test
		void unresolvedOrderDelaysTheHandover() {
			OwnedGroup owned = new OwnedGroup(0);
			owned.answerOrders(PromotionService.Result.UNKNOWN);
			owned.member("a").crash();
			owned.advance(2_000);
			owned.promote("c");
			owned.publish(0, "c");
			owned.advance(4_000);
			assertThat(owned.orderedMembers()).isNotEmpty().containsOnly("c");
			assertThat(owned.member("c").isPrimary()).isTrue();
			owned.answerOrders(owned::promote);
			owned.advance(4_000);
			assertThat(owned.member("b").isPrimary()).isTrue();
		}

		/**
		 * Guards against the same after the platform has refused the next order for the
		 * member, with which the owner no longer has to repeat the order.
		 */
		@Test
		void unresolvedOrderDelaysTheHandoverAfterARefusedOne() {
			OwnedGroup owned = new OwnedGroup(1);
			owned.answerOrders((member) -> {
				if (owned.orders().size() == 1) {
					return CompletableFuture.completedFuture(PromotionService.Result.UNKNOWN);
				}
				owned.promote("c");
				return CompletableFuture.completedFuture(PromotionService.Result.REFUSED);
			});
			owned.publish(1, "c");
			owned.member("c").position(1, 1);
			owned.member("a").crash();
			owned.advance(2_000);
			owned.member("b").position(1, 1);
			owned.advance(4_000);
			assertThat(owned.orderedMembers()).hasSizeGreaterThan(2).containsOnly("c");
			assertThat(owned.member("c").isPrimary()).isTrue();
			owned.answerOrders(owned::promote);
			owned.advance(4_000);
			assertThat(owned.member("b").isPrimary()).isTrue();
		}

		/**
		 * Guards against a leaving primary that is demoted although an accepted order
		 * will promote it once more, because an earlier order had promoted it already.
		 */
		@Test
		void acceptedOrderTakesEffectBeforeTheHandover() {
			OwnedGroup owned = new OwnedGroup(1);
			List<Boolean> primaryAtEffect = new ArrayList<>();
			owned.answerOrders((member) -> {
				owned.after(600, () -> primaryAtEffect.add(owned.member(member).isPrimary()));
				return owned.promote(member);
			});
			owned.publish(1, "c");
			owned.member("c").position(1, 1);
			owned.member("a").crash();
			owned.advance(1_000);
			owned.member("b").position(1, 1);
			owned.advance(4_000);
			assertThat(owned.orderedMembers()).containsExactly("c", "b");
			assertThat(primaryAtEffect).containsExactly(true, true);
		}

	}

	/**
	 * Tests of the record in the control log, from which a later owner learns whether an
	 * order may be outstanding.
	 */
	@Nested
	class Confirmations {

		/**
		 * Guards against a primary that is confirmed although an order has no answer. A
		 * later owner would replace the primary before the order is executed.
		 */
		@Test
		void unansweredOrderDelaysTheConfirmation() {
			OwnedGroup owned = new OwnedGroup(1);
			owned.answerOrders(PromotionService.Result.UNKNOWN);
			owned.member("a").crash();
			owned.advance(2_000);
			owned.promote("c");
			owned.advance(4_000);
			assertThat(owned.isPrimaryKnown()).isTrue();
			assertThat(owned.confirmedPrimaries()).isEmpty();
			owned.answerOrders(owned::promote);
			owned.advance(2_000);
			assertThat(owned.confirmedPrimaries()).containsExactly("c");
		}

		/**
		 * Guards against a member that is confirmed once it leads, because of an earlier
		 * order, while the call of the next order is in progress.
		 */
		@Test
		void callInProgressDelaysTheConfirmation() {
			OwnedGroup owned = new OwnedGroup(1);
			CompletableFuture<PromotionService.Result> call = new CompletableFuture<>();
			owned.answerOrders((member) -> {
				if (owned.orders().size() == 1) {
					return CompletableFuture.completedFuture(PromotionService.Result.UNKNOWN);
				}
				owned.after(100, () -> owned.promote(member));
				return call;
			});
			owned.member("a").crash();
			owned.advance(3_000);
			assertThat(owned.isPrimaryKnown()).isTrue();
			assertThat(owned.confirmedPrimaries()).isEmpty();
			call.complete(PromotionService.Result.ACCEPTED);
			owned.advance(1_000);
			assertThat(owned.confirmedPrimaries()).containsExactly("c");
		}

	}

	/**
	 * Tests of the pause of the replicas while the owner does not reach the primary.
	 */
	@Nested
	class Pauses {

		/**
		 * Guards against replicas of a new primary that are paused and promoted by an
		 * owner which has not noticed that primary. It goes on acknowledging commits
		 * which the selected replica lacks.
		 */
		@Test
		void pauseThatANewerTermPrecedesIsNotRepeated() {
			OwnedGroup owned = new OwnedGroup(1);
			owned.beforeFirst(MemberCommand.Kind.PAUSE, () -> owned.promote("b"));
			owned.member("a").partitioned(true);
			owned.advance(5_000);
			assertThat(owned.member("b").isPrimary()).isTrue();
			assertThat(owned.orders()).isEmpty();
			assertThat(owned.member("c").isPaused()).isFalse();
			assertThat(owned.confirmedPrimaries()).containsExactly("b");
		}

		/**
		 * Guards against a replica that is promoted although the command to pause had no
		 * effect, because the primary leads a term of which the replicas have not heard.
		 */
		@Test
		void replicasThatWereNotPausedAreNotPromoted() {
			OwnedGroup owned = new OwnedGroup(1);
			owned.member("a").partitioned(true);
			owned.member("a").position(2, 1);
			owned.advance(5_000);
			assertThat(owned.orders()).isEmpty();
			owned.member("b").position(2, 1);
			owned.member("c").position(2, 1);
			owned.advance(5_000);
			assertThat(owned.orders()).isNotEmpty().allMatch(OwnedGroup.Order::replicasPaused);
		}

	}

	/**
	 * Tests of the end of attempts to replace a primary.
	 */
	@Nested
	class Attempts {

		/**
		 * Guards against the replacement of a primary that the owner reaches again before
		 * it has ordered a successor.
		 */
		@Test
		void primaryThatIsKnownAgainEndsTheAttempt() {
			OwnedGroup owned = new OwnedGroup(1);
			owned.member("c").fail((kind) -> kind == MemberCommand.Kind.PAUSE);
			owned.member("a").partitioned(true);
			owned.advanceUntil(() -> owned.member("b").isPaused());
			owned.member("a").partitioned(false);
			owned.advanceUntil(owned::isPrimaryKnown);
			owned.advance(100);
			owned.member("c").fail((kind) -> false);
			owned.advance(5_000);
			assertThat(owned.orders()).isEmpty();
			assertThat(owned.member("a").isPrimary()).isTrue();
			assertThat(owned.member("b").isPaused() || owned.member("c").isPaused()).isFalse();
		}

	}

}
