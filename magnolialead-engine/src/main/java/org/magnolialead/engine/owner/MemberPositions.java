package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.ToIntFunction;

import org.magnolialead.api.GroupView;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MemberStatus;
import org.magnolialead.api.Profile;

/**
 * Log positions of a group's members and the age of their data. Readers use immutable
 * snapshots. Thread-safe.
 * <p>
 * The age of a member's data follows from samples of the confirmed primary: a member at
 * or beyond the position of a sample holds all writes made before the sample's request
 * was sent. Samples of earlier terms remain valid after a failover: they were taken while
 * their primary was the confirmed one, the owner acknowledges no write of a later term
 * before that term is confirmed, and a log whose last record has a later term includes
 * every acknowledged write of the earlier terms. Hence the age of a member that has not
 * yet reached the first sample of the new primary is that of the last earlier sample it
 * has reached, and it increases. Responses of a replaced primary are not sampled.
 */
public final class MemberPositions {

	/**
	 * Time without a successful response after which a member receives no new work, in
	 * nanoseconds. Members are polled at least every 100 ms, so ten consecutive polls
	 * have failed.
	 */
	public static final long ANSWER_TIMEOUT_NANOSECONDS = 1_000_000_000L;

	private final ReadPolicy policy;

	private final AtomicReference<Snapshot> snapshot = new AtomicReference<>(
			new Snapshot(Map.of(), PrimaryTimeline.EMPTY));

	/**
	 * Creates an empty table.
	 * @param policy policy that determines which members serve reads
	 */
	public MemberPositions(ReadPolicy policy) {
		this.policy = Objects.requireNonNull(policy, "policy must not be null");
	}

	/**
	 * Records the response to a status request. A response to an earlier request than
	 * that of the recorded response is ignored.
	 * @param status status in the response
	 * @param sentAt time at which the request was sent
	 * @param answeredAt time at which the response arrived
	 * @param view present view of the group
	 */
	public void statusAnswered(MemberStatus status, long sentAt, long answeredAt, GroupView view) {
		this.snapshot.updateAndGet((present) -> present.with(status, sentAt, answeredAt, view));
	}

	/**
	 * Returns the present snapshot.
	 * @return the snapshot
	 */
	public Snapshot snapshot() {
		return this.snapshot.get();
	}

	/**
	 * Returns the last known position of a member.
	 * @param member name of the member
	 * @return the position, or empty if the member has never responded
	 */
	public Optional<LogPosition> position(String member) {
		return Optional.ofNullable(snapshot().members().get(member)).map((response) -> response.status().position());
	}

	/**
	 * Returns the age of a member's data: all writes made longer ago are in its log.
	 * @param member name of the member
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the age in nanoseconds, or {@link Long#MAX_VALUE} if it is not known
	 */
	public long ageNanoseconds(String member, long now) {
		return snapshot().ageNanoseconds(member, now);
	}

	/**
	 * Returns the confirmed primary if it may receive work.
	 * @param view present view of the group
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return its name, or empty if it is leaving, does not respond or is not known as
	 * primary of the confirmed term
	 */
	public Optional<String> primary(GroupView view, long now) {
		return Optional.of(view.primary()).filter((name) -> snapshot().isPrimary(name, view, now));
	}

	/**
	 * Returns the members that may serve a read.
	 * @param profile profile of the request
	 * @param required position that the read must include
	 * @param requiredKnown whether the required position is known; if not, only the
	 * primary may serve the read
	 * @param view present view of the group
	 * @param now present time in nanoseconds of the monotonic clock
	 * @param running number of statements that a member is running, by name of the member
	 * @return names of the members: replicas with the fewest running statements first and
	 * the primary last
	 */
	public List<String> eligibleForRead(Profile profile, LogPosition required, boolean requiredKnown, GroupView view,
			long now, ToIntFunction<String> running) {
		Snapshot present = snapshot();
		List<String> eligible = new ArrayList<>();
		if (requiredKnown && this.policy.permitsReplica(profile)) {
			for (MemberDescription member : view.allMembers()) {
				if (present.isFreshReplica(member.member(), profile, required, view, now)) {
					eligible.add(member.member());
				}
			}
			eligible.sort(Comparator.comparingInt(running).thenComparing(Comparator.naturalOrder()));
		}
		if (present.isPrimary(view.primary(), view, now)) {
			eligible.add(view.primary());
		}
		return eligible;
	}

	/**
	 * Latest successful response of a member.
	 *
	 * @param status status in the response
	 * @param sentAt time at which the request was sent
	 * @param answeredAt time at which the response arrived
	 */
	public record MemberResponse(MemberStatus status, long sentAt, long answeredAt) {

		boolean answeredRecently(long now) {
			return now - this.answeredAt < ANSWER_TIMEOUT_NANOSECONDS;
		}

	}

	/**
	 * State of all members at one time.
	 *
	 * @param members latest responses by name of the member
	 * @param timeline samples of the primary
	 */
	public record Snapshot(Map<String, MemberResponse> members, PrimaryTimeline timeline) {

		Snapshot with(MemberStatus status, long sentAt, long answeredAt, GroupView view) {
			MemberResponse earlier = this.members.get(status.member());
			if (earlier != null && sentAt - earlier.sentAt() < 0) {
				return this;
			}
			Map<String, MemberResponse> next = new HashMap<>(this.members);
			next.keySet().retainAll(view.members().keySet());
			next.put(status.member(), new MemberResponse(status, sentAt, answeredAt));
			PrimaryTimeline nextTimeline = isConfirmedPrimary(status, view)
					? this.timeline.with(sentAt, status.position()) : this.timeline;
			return new Snapshot(Map.copyOf(next), nextTimeline);
		}

		long ageNanoseconds(String member, long now) {
			MemberResponse response = this.members.get(member);
			return (response != null) ? this.timeline.ageNanoseconds(response.status().position(), now)
					: Long.MAX_VALUE;
		}

		boolean isPrimary(String member, GroupView view, long now) {
			MemberResponse response = this.members.get(member);
			return response != null && isConfirmedPrimary(response.status(), view)
					&& mayReceiveWork(member, response, view, now);
		}

		// A member that reports the role of a primary without being the confirmed one
		// does not count as a replica, because it may hold writes that were never
		// acknowledged.
		boolean isFreshReplica(String member, Profile profile, LogPosition required, GroupView view, long now) {
			MemberResponse response = this.members.get(member);
			if (response == null || response.status().role() != MemberRole.REPLICA || member.equals(view.primary())) {
				return false;
			}
			if (!followsPresentTerm(response.status(), view) || !mayReceiveWork(member, response, view, now)
					|| !response.status().position().includes(required)) {
				return false;
			}
			long limit = profile.maximumAgeMilliseconds() * 1_000_000L;
			return !profile.freshness().boundsAge() || ageNanoseconds(member, now) <= limit;
		}

		// A replica of an earlier term may replicate from the replaced primary and hold
		// writes that were never acknowledged and will be rolled back. A replica of a
		// reserved term holds every acknowledged write.
		private static boolean followsPresentTerm(MemberStatus status, GroupView view) {
			return status.term() >= view.term() && status.term() <= view.reservedTerm();
		}

		private static boolean mayReceiveWork(String member, MemberResponse response, GroupView view, long now) {
			boolean present = view.member(member).filter((description) -> !description.leaving()).isPresent();
			return present && response.answeredRecently(now);
		}

		private static boolean isConfirmedPrimary(MemberStatus status, GroupView view) {
			return status.role() == MemberRole.PRIMARY && status.term() == view.term()
					&& status.member().equals(view.primary());
		}

	}

}
