package org.magnolialead.daemon.owner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Profile;
import org.magnolialead.api.StatementKind;
import org.magnolialead.engine.owner.MemberSelector;

/**
 * Selects the members that may serve a request.
 */
final class MemberSelectors {

	private final GroupContext context;

	private final MemberSelector primarySelector = this::primaryOnly;

	private final Map<ReadClass, MemberSelector> readSelectors = new HashMap<>();

	MemberSelectors(GroupContext context) {
		this.context = context;
	}

	/**
	 * Returns the selector of the members that may serve a request.
	 * @param request the request
	 * @return the selector, evaluated again whenever a slot is free
	 */
	MemberSelector of(PendingRequest request) {
		StatementKind kind = request.request().kind();
		if (kind == StatementKind.READ && !request.primaryOnly()) {
			ReadClass readClass = new ReadClass(request.profile(), request.required(), request.floorKnown());
			if (request.required().equals(LogPosition.NONE)) {
				return this.readSelectors.computeIfAbsent(readClass, this::readSelector);
			}
			return readSelector(readClass);
		}
		if (kind.isTransactional() && kind != StatementKind.BEGIN) {
			String identifier = request.request().transaction();
			return (now) -> this.context.transactions()
				.find(identifier)
				.filter(OpenTransaction::isOpen)
				.map((transaction) -> List.of(transaction.member()))
				.orElse(List.of());
		}
		return this.primarySelector;
	}

	private MemberSelector readSelector(ReadClass readClass) {
		return (now) -> this.context.isActiveOwner() ? this.context.positions()
			.eligibleForRead(readClass.profile, readClass.required, readClass.floorKnown, this.context.view(), now,
					this.context.scheduler()::running)
			.stream()
			.filter((member) -> !member.equals(this.context.view().primary())
					|| this.context.servingPrimary(now).isPresent())
			.toList() : List.of();
	}

	private List<String> primaryOnly(long now) {
		return this.context.servingPrimary(now).map((primary) -> List.of(primary.member())).orElse(List.of());
	}

	/**
	 * Requirements of a read. Reads with equal requirements share a selector if they
	 * require no position.
	 */
	private record ReadClass(Profile profile, LogPosition required, boolean floorKnown) {
	}

}
